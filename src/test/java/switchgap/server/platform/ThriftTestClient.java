package switchgap.server.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;

/** A client on a plain socket, with Apache Thrift's codec. */
public final class ThriftTestClient implements AutoCloseable {
  /**
   * What came: the message's type and number; of a reply the result's field (0 Answer, 1 Full, 2
   * Error), fields and body.
   */
  record Reply(
      int type, int number, int field, Map<String, String> fields, byte[] body, boolean good) {}

  final Socket socket;
  private final DataInputStream in;
  private final OutputStream out;

  ThriftTestClient(int port) throws IOException {
    this(port, 0);
  }

  /** {@code unread}: bytes that its system takes without its reading them, about; 0: as usual. */
  ThriftTestClient(int port, int unread) throws IOException {
    socket = new Socket();
    if (unread > 0) {
      socket.setReceiveBufferSize(unread);
    }
    socket.connect(new java.net.InetSocketAddress("127.0.0.1", port));
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(5000);
    in = new DataInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static Map<String, String> fields(String service, String ref, long allow, String function) {
    return new HashMap<>(
        Map.of(
            "service",
            service,
            "ref",
            ref,
            "allow",
            String.valueOf(allow),
            "project",
            "shop",
            "lookup",
            function,
            "extras",
            "memory_mb:100;lanes:2"));
  }

  static byte[] framed(byte[] frame) {
    return ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array();
  }

  static byte[] submit(int number, Map<String, String> fields, byte[] body) throws Exception {
    TMemoryBuffer buffer = new TMemoryBuffer(256);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    writeSubmitArguments(protocol, number, fields, body);
    protocol.writeFieldStop();
    return framed(java.util.Arrays.copyOf(buffer.getArray(), buffer.length()));
  }

  /** A submit up to its last argument. */
  public static void writeSubmitArguments(
      TBinaryProtocol protocol, int number, Map<String, String> fields, byte[] body)
      throws Exception {
    protocol.writeMessageBegin(new TMessage("submit", (byte) 1, number));
    protocol.writeFieldBegin(new TField("fields", TType.MAP, (short) 1));
    protocol.writeMapBegin(new TMap(TType.STRING, TType.STRING, fields.size()));
    for (Map.Entry<String, String> field : fields.entrySet()) {
      protocol.writeString(field.getKey());
      protocol.writeString(field.getValue());
    }
    protocol.writeFieldBegin(new TField("body", TType.STRING, (short) 2));
    protocol.writeBinary(ByteBuffer.wrap(body));
  }

  private static byte[] one(String method, int type, int number, byte kind, int value)
      throws Exception {
    TMemoryBuffer buffer = new TMemoryBuffer(64);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    protocol.writeMessageBegin(new TMessage(method, (byte) type, number));
    protocol.writeFieldBegin(new TField("x", kind, (short) 1));
    if (kind == TType.BOOL) {
      protocol.writeBool(value != 0);
    } else {
      protocol.writeI32(value);
    }
    protocol.writeFieldStop();
    return framed(java.util.Arrays.copyOf(buffer.getArray(), buffer.length()));
  }

  void raw(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  void ask(int number, Map<String, String> fields, String body) throws Exception {
    raw(submit(number, fields, body.getBytes(UTF_8)));
  }

  void revoke(int number, int which) throws Exception {
    raw(one("revoke", 4, number, TType.I32, which));
  }

  void heartbeat(int number) throws Exception {
    raw(one("heartbeat", 1, number, TType.BOOL, 1));
  }

  void nonsense(int number) throws Exception {
    raw(one("nonsense", 1, number, TType.BOOL, 1));
  }

  /** The next reply, or null where the router closed. */
  Reply reply() throws Exception {
    byte[] frame;
    try {
      frame = new byte[in.readInt()];
      in.readFully(frame);
    } catch (java.io.EOFException | java.net.SocketException e) {
      return null;
    }
    TMemoryBuffer buffer = new TMemoryBuffer(frame.length);
    buffer.write(frame);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer, true, true);
    TMessage head = protocol.readMessageBegin();
    if (head.type == 3) {
      return new Reply(3, head.seqid, -1, Map.of(), new byte[0], false);
    }
    int field = protocol.readFieldBegin().id;
    Map<String, String> fields = new HashMap<>();
    byte[] body = new byte[0];
    boolean good = false;
    for (TField resultField = protocol.readFieldBegin();
        resultField.type != TType.STOP;
        resultField = protocol.readFieldBegin()) {
      if (resultField.type == TType.STRING) {
        ByteBuffer bytes = protocol.readBinary();
        body = new byte[bytes.remaining()];
        bytes.get(body);
      } else if (resultField.type == TType.BOOL) {
        good = protocol.readBool();
      } else {
        int length = protocol.readMapBegin().size;
        for (int i = 0; i < length; i++) {
          fields.put(protocol.readString(), protocol.readString());
        }
      }
    }
    return new Reply(head.type, head.seqid, field, fields, body, good);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
