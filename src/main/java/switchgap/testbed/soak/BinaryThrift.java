package switchgap.testbed.soak;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The clients' protocol, strict binary Thrift in frames, from the client's side. It shares no code
 * with the router's codec, so that a mistake there can't hide itself from the checks.
 */
final class BinaryThrift {
  /** What a reply states. */
  enum ReplyKind {
    SERVED,
    REJECTED,
    FAILED,
    HEARTBEAT
  }

  /**
   * A reply of the router.
   *
   * @param sequenceId of the request
   * @param kind what it states
   * @param body of a served request, else null
   * @param healthy what a heartbeat states, else false
   */
  record RouterReply(int sequenceId, ReplyKind kind, byte[] body, boolean healthy) {}

  private static final int VERSION = 0x80010000;
  private static final int CALL = 1;
  private static final int EXCEPTION = 3;
  private static final int ONEWAY = 4;
  private static final int STOP = 0;
  private static final int BOOL = 2;
  private static final int INT32 = 8;
  private static final int STRING = 11;
  private static final int STRUCT = 12;
  private static final int MAP = 13;
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final String HEARTBEAT_METHOD = "heartbeat";

  private BinaryThrift() {}

  /** The frame of a request. */
  static byte[] submit(int sequenceId, Map<String, String> fields, byte[] body) throws IOException {
    return message(
        "submit",
        CALL,
        sequenceId,
        out -> {
          fieldHeader(out, MAP, 1);
          out.writeByte(STRING);
          out.writeByte(STRING);
          out.writeInt(fields.size());
          for (Map.Entry<String, String> field : fields.entrySet()) {
            writeBytes(out, field.getKey().getBytes(StandardCharsets.UTF_8));
            writeBytes(out, field.getValue().getBytes(StandardCharsets.UTF_8));
          }
          fieldHeader(out, STRING, 2);
          writeBytes(out, body);
        });
  }

  /** The frame that cancels the request of a sequence id. */
  static byte[] revoke(int sequenceId, int revoked) throws IOException {
    return message(
        "revoke",
        ONEWAY,
        sequenceId,
        out -> {
          fieldHeader(out, INT32, 1);
          out.writeInt(revoked);
        });
  }

  /** The frame that asks whether the router is healthy. */
  static byte[] heartbeat(int sequenceId) throws IOException {
    return message(
        HEARTBEAT_METHOD,
        CALL,
        sequenceId,
        out -> {
          fieldHeader(out, BOOL, 1);
          out.writeByte(1);
        });
  }

  private interface Arguments {
    void write(DataOutputStream out) throws IOException;
  }

  private static byte[] message(String method, int type, int sequenceId, Arguments arguments)
      throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(0); // length of the frame, overwritten below
    out.writeInt(VERSION | type);
    writeBytes(out, method.getBytes(StandardCharsets.UTF_8));
    out.writeInt(sequenceId);
    arguments.write(out);
    out.writeByte(STOP);
    byte[] frame = bytes.toByteArray();
    ByteBuffer.wrap(frame).putInt(frame.length - Integer.BYTES);
    return frame;
  }

  private static void fieldHeader(DataOutputStream out, int type, int id) throws IOException {
    out.writeByte(type);
    out.writeShort(id);
  }

  private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  /**
   * Reads the next reply, blocking.
   *
   * @throws IOException if the connection ends or what arrives is no reply
   */
  static RouterReply readReply(DataInputStream input) throws IOException {
    int length = input.readInt();
    if (length <= 0 || length > MAX_FRAME_BYTES) {
      throw new IOException("a frame of " + length + " bytes");
    }
    ByteBuffer frame = ByteBuffer.wrap(input.readNBytes(length));
    if (frame.remaining() < length) {
      throw new IOException("a frame was cut off");
    }
    int type = frame.getInt() & 0xff;
    String method = new String(readString(frame), StandardCharsets.UTF_8);
    int sequenceId = frame.getInt();
    if (type == EXCEPTION) {
      return new RouterReply(sequenceId, ReplyKind.FAILED, null, false);
    }
    frame.get(); // type of the result's field, a struct
    int outcome = frame.getShort();
    Struct struct = readStruct(frame);
    ReplyKind kind = method.equals(HEARTBEAT_METHOD) ? ReplyKind.HEARTBEAT : kind(outcome);
    return new RouterReply(sequenceId, kind, struct.body, struct.healthy);
  }

  private static ReplyKind kind(int outcome) {
    if (outcome == 0) {
      return ReplyKind.SERVED;
    }
    return outcome == 1 ? ReplyKind.REJECTED : ReplyKind.FAILED;
  }

  private record Struct(byte[] body, boolean healthy) {}

  private static Struct readStruct(ByteBuffer frame) throws IOException {
    byte[] body = null;
    boolean healthy = false;
    for (int type = frame.get(); type != STOP; type = frame.get()) {
      frame.getShort();
      switch (type) {
        case STRING -> body = readString(frame);
        case BOOL -> healthy = frame.get() != 0;
        case MAP -> skipMap(frame);
        case STRUCT -> readStruct(frame);
        default -> throw new IOException("a field of type " + type);
      }
    }
    return new Struct(body, healthy);
  }

  private static void skipMap(ByteBuffer frame) {
    frame.getShort(); // types of keys and values, strings
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
