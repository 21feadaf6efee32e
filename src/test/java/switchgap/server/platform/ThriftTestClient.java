package switchgap.server.platform;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;

/** A client on a plain socket that uses Apache Thrift's codec. */
public final class ThriftTestClient implements AutoCloseable {
  private static final int RECEIVE_TIMEOUT_MILLIS = 5000;

  /**
   * A reply of the router.
   *
   * @param sequenceId sequence id of the message that is answered
   * @param fields fields of a declared exception, otherwise empty
   * @param body body of a response, otherwise empty
   * @param healthy health that a response reports, otherwise false
   */
  record Reply(
      ReplyOutcome outcome,
      int sequenceId,
      Map<String, String> fields,
      byte[] body,
      boolean healthy) {
    /** The body as text with one character per byte. */
    String bodyText() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private final Socket socket;
  private final DataInputStream input;
  private final OutputStream output;

  ThriftTestClient(int port) throws IOException {
    this(port, 0);
  }

  /**
   * Connects to a router.
   *
   * @param receiveBufferBytes approximate size of the socket's receive buffer, or 0 for the default
   */
  ThriftTestClient(int port, int receiveBufferBytes) throws IOException {
    socket = new Socket();
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.connect(new InetSocketAddress("127.0.0.1", port));
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
    input = new DataInputStream(socket.getInputStream());
    output = socket.getOutputStream();
  }

  boolean isConnected() {
    return socket.isConnected();
  }

  // ------------------------------------------------------------------ frames

  /** Prepends the length to a frame. */
  public static byte[] withLengthPrefix(byte[] frame) {
    return ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array();
  }

  /** Encodes a submit as a frame with its length prefix. */
  static byte[] submitFrame(int sequenceId, TestSubmit submit) throws TException {
    return submitFrame(sequenceId, submit.fields(), submit.bodyBytes());
  }

  /** Encodes a submit of the given fields, which may be invalid, with its length prefix. */
  static byte[] submitFrame(int sequenceId, Map<String, String> fields, byte[] body)
      throws TException {
    TMemoryBuffer buffer = new TMemoryBuffer(256);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    writeSubmitArguments(protocol, sequenceId, fields, body);
    protocol.writeFieldStop();
    return withLengthPrefix(Arrays.copyOf(buffer.getArray(), buffer.length()));
  }

  /**
   * Writes a submit without the field stop that ends its arguments, so that callers can add more.
   */
  public static void writeSubmitArguments(
      TBinaryProtocol protocol, int sequenceId, Map<String, String> fields, byte[] body)
      throws TException {
    protocol.writeMessageBegin(new TMessage("submit", TMessageType.CALL, sequenceId));
    protocol.writeFieldBegin(new TField("fields", TType.MAP, (short) 1));
    protocol.writeMapBegin(new TMap(TType.STRING, TType.STRING, fields.size()));
    for (Map.Entry<String, String> field : fields.entrySet()) {
      protocol.writeString(field.getKey());
      protocol.writeString(field.getValue());
    }
    protocol.writeFieldBegin(new TField("body", TType.STRING, (short) 2));
    protocol.writeBinary(ByteBuffer.wrap(body));
  }

  private static byte[] booleanCallFrame(String method, int sequenceId) throws TException {
    TMemoryBuffer buffer = new TMemoryBuffer(64);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    protocol.writeMessageBegin(new TMessage(method, TMessageType.CALL, sequenceId));
    protocol.writeFieldBegin(new TField("flag", TType.BOOL, (short) 1));
    protocol.writeBool(true);
    protocol.writeFieldStop();
    return withLengthPrefix(Arrays.copyOf(buffer.getArray(), buffer.length()));
  }

  private static byte[] revokeFrame(int sequenceId, int revokedSequenceId) throws TException {
    TMemoryBuffer buffer = new TMemoryBuffer(64);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    protocol.writeMessageBegin(new TMessage("revoke", TMessageType.ONEWAY, sequenceId));
    protocol.writeFieldBegin(new TField("number", TType.I32, (short) 1));
    protocol.writeI32(revokedSequenceId);
    protocol.writeFieldStop();
    return withLengthPrefix(Arrays.copyOf(buffer.getArray(), buffer.length()));
  }

  // ------------------------------------------------------------------ sending

  void sendBytes(byte[] bytes) throws IOException {
    output.write(bytes);
    output.flush();
  }

  void submit(int sequenceId, TestSubmit submit) throws Exception {
    sendBytes(submitFrame(sequenceId, submit));
  }

  void revoke(int sequenceId, int revokedSequenceId) throws Exception {
    sendBytes(revokeFrame(sequenceId, revokedSequenceId));
  }

  void heartbeat(int sequenceId) throws Exception {
    sendBytes(booleanCallFrame("heartbeat", sequenceId));
  }

  void callUnknownMethod(int sequenceId) throws Exception {
    sendBytes(booleanCallFrame("nonsense", sequenceId));
  }

  // ------------------------------------------------------------------ receiving

  /** Waits for the next reply; returns null if the router closed the connection. */
  Reply receiveReply() throws Exception {
    byte[] frame;
    try {
      frame = new byte[input.readInt()];
      input.readFully(frame);
    } catch (EOFException | SocketException e) {
      return null;
    }
    return decodeReply(frame);
  }

  private static Reply decodeReply(byte[] frame) throws TException {
    TMemoryBuffer buffer = new TMemoryBuffer(frame.length);
    buffer.write(frame);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer, true, true);
    TMessage header = protocol.readMessageBegin();
    if (header.type == TMessageType.EXCEPTION) {
      return new Reply(
          ReplyOutcome.APPLICATION_EXCEPTION, header.seqid, Map.of(), new byte[0], false);
    }
    ReplyOutcome outcome = ReplyOutcome.ofResultField(protocol.readFieldBegin().id);
    Map<String, String> fields = new HashMap<>();
    byte[] body = {};
    boolean healthy = false;
    TField field = protocol.readFieldBegin();
    while (field.type != TType.STOP) {
      switch (field.type) {
        case TType.STRING -> body = readBytes(protocol);
        case TType.BOOL -> healthy = protocol.readBool();
        default -> readFields(protocol, fields);
      }
      field = protocol.readFieldBegin();
    }
    return new Reply(outcome, header.seqid, fields, body, healthy);
  }

  private static byte[] readBytes(TBinaryProtocol protocol) throws TException {
    ByteBuffer buffer = protocol.readBinary();
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }

  private static void readFields(TBinaryProtocol protocol, Map<String, String> fields)
      throws TException {
    int count = protocol.readMapBegin().size;
    for (int i = 0; i < count; i++) {
      fields.put(protocol.readString(), protocol.readString());
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
