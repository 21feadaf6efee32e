package switchgap.testbed.soak;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Client side of the protocol between clients and routers: framed Thrift messages in the strict
 * binary protocol. It shares no code with the router's codec, so that the checks notice faults of
 * that codec.
 */
final class BinaryThrift {
  /** What a reply from a router means. */
  enum ReplyKind {
    SERVED,
    REJECTED,
    FAILED,
    HEARTBEAT
  }

  /**
   * A reply from a router.
   *
   * @param sequenceId sequence id of the message that it replies to
   * @param kind what the reply means
   * @param body body of a served request; null for other replies
   * @param healthy whether a heartbeat reports the router healthy; false for other replies
   */
  record RouterReply(int sequenceId, ReplyKind kind, byte[] body, boolean healthy) {}

  private static final int THRIFT_VERSION_1 = 0x80010000;
  private static final int CALL_MESSAGE = 1;
  private static final int EXCEPTION_MESSAGE = 3;
  private static final int ONEWAY_MESSAGE = 4;
  private static final int STOP_TYPE = 0;
  private static final int BOOL_TYPE = 2;
  private static final int INT32_TYPE = 8;
  private static final int STRING_TYPE = 11;
  private static final int STRUCT_TYPE = 12;
  private static final int MAP_TYPE = 13;
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final String HEARTBEAT_METHOD = "heartbeat";

  private BinaryThrift() {}

  /** Encodes the frame of a request. */
  static byte[] submit(int sequenceId, Map<String, String> fields, byte[] body) throws IOException {
    return encodeMessage(
        "submit",
        CALL_MESSAGE,
        sequenceId,
        out -> {
          writeFieldHeader(out, MAP_TYPE, 1);
          out.writeByte(STRING_TYPE);
          out.writeByte(STRING_TYPE);
          out.writeInt(fields.size());
          for (Map.Entry<String, String> field : fields.entrySet()) {
            writeBytes(out, field.getKey().getBytes(StandardCharsets.UTF_8));
            writeBytes(out, field.getValue().getBytes(StandardCharsets.UTF_8));
          }
          writeFieldHeader(out, STRING_TYPE, 2);
          writeBytes(out, body);
        });
  }

  /** Encodes the frame that cancels a request, named by its sequence id. */
  static byte[] revoke(int sequenceId, int cancelledSequenceId) throws IOException {
    return encodeMessage(
        "revoke",
        ONEWAY_MESSAGE,
        sequenceId,
        out -> {
          writeFieldHeader(out, INT32_TYPE, 1);
          out.writeInt(cancelledSequenceId);
        });
  }

  /** Encodes the frame that asks whether the router is healthy. */
  static byte[] heartbeat(int sequenceId) throws IOException {
    return encodeMessage(
        HEARTBEAT_METHOD,
        CALL_MESSAGE,
        sequenceId,
        out -> {
          writeFieldHeader(out, BOOL_TYPE, 1);
          out.writeByte(1);
        });
  }

  private interface Arguments {
    void write(DataOutputStream out) throws IOException;
  }

  private static byte[] encodeMessage(
      String method, int messageType, int sequenceId, Arguments arguments) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    // Placeholder: the length of the frame is known at the end.
    out.writeInt(0);
    out.writeInt(THRIFT_VERSION_1 | messageType);
    writeBytes(out, method.getBytes(StandardCharsets.UTF_8));
    out.writeInt(sequenceId);
    arguments.write(out);
    out.writeByte(STOP_TYPE);
    byte[] frame = bytes.toByteArray();
    ByteBuffer.wrap(frame).putInt(frame.length - Integer.BYTES);
    return frame;
  }

  private static void writeFieldHeader(DataOutputStream out, int fieldType, int fieldId)
      throws IOException {
    out.writeByte(fieldType);
    out.writeShort(fieldId);
  }

  private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  /**
   * Reads the next reply; blocks until it is complete.
   *
   * @throws IOException if the connection ends or the input is not a valid reply
   */
  static RouterReply readReply(DataInputStream input) throws IOException {
    int length = input.readInt();
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      throw new IOException("invalid length of a reply frame: " + length + " bytes");
    }
    ByteBuffer frame = ByteBuffer.wrap(input.readNBytes(length));
    if (frame.remaining() < length) {
      throw new IOException("connection ended within a reply frame");
    }
    int messageType = frame.getInt() & 0xff;
    String method = new String(readString(frame), StandardCharsets.UTF_8);
    int sequenceId = frame.getInt();
    if (messageType == EXCEPTION_MESSAGE) {
      return new RouterReply(sequenceId, ReplyKind.FAILED, null, false);
    }
    // The type of the result field is always a struct.
    frame.get();
    int resultFieldId = frame.getShort();
    ResultStruct result = readStruct(frame);
    ReplyKind kind =
        method.equals(HEARTBEAT_METHOD) ? ReplyKind.HEARTBEAT : replyKind(resultFieldId);
    return new RouterReply(sequenceId, kind, result.body, result.healthy);
  }

  private static ReplyKind replyKind(int resultFieldId) {
    if (resultFieldId == 0) {
      return ReplyKind.SERVED;
    }
    return resultFieldId == 1 ? ReplyKind.REJECTED : ReplyKind.FAILED;
  }

  private record ResultStruct(byte[] body, boolean healthy) {}

  private static ResultStruct readStruct(ByteBuffer frame) throws IOException {
    byte[] body = null;
    boolean healthy = false;
    for (int fieldType = frame.get(); fieldType != STOP_TYPE; fieldType = frame.get()) {
      frame.getShort();
      switch (fieldType) {
        case STRING_TYPE -> body = readString(frame);
        case BOOL_TYPE -> healthy = frame.get() != 0;
        case MAP_TYPE -> skipMap(frame);
        case STRUCT_TYPE -> readStruct(frame);
        default -> throw new IOException("unexpected type " + fieldType + " of a field in a reply");
      }
    }
    return new ResultStruct(body, healthy);
  }

  private static void skipMap(ByteBuffer frame) {
    // The types of keys and values are always strings.
    frame.getShort();
    for (int entries = frame.getInt(); entries > 0; entries--) {
      readString(frame);
      readString(frame);
    }
  }

  private static byte[] readString(ByteBuffer frame) {
    byte[] bytes = new byte[frame.getInt()];
    frame.get(bytes);
    return bytes;
  }
}
