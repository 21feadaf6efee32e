package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/** Encodes replies and application exceptions, each as a complete frame with its length prefix. */
final class ThriftResponseEncoder {
  private static final byte[] NO_BODY = {};
  private static final int LENGTH_PREFIX_BYTES = 4;

  /** Bytes of the length prefix, the header, the length of the method name and the sequence id. */
  private static final int ENVELOPE_BYTES = 16;

  /** Upper bound for the bytes of a response struct without its body. */
  private static final int RESPONSE_OVERHEAD_BYTES = 40;

  /** Upper bound for the bytes of an exception struct without its fields or text. */
  private static final int EXCEPTION_OVERHEAD_BYTES = 32;

  /** Bytes of the two lengths that precede the name and the value of a field. */
  private static final int FIELD_OVERHEAD_BYTES = 8;

  /** Maximum bytes of one {@code char} of a string in UTF-8. */
  private static final int MAX_BYTES_PER_CHAR = 3;

  // Error codes in application exceptions.
  private static final int UNKNOWN_METHOD_CODE = 1;
  private static final int PROTOCOL_ERROR_CODE = 7;

  // Field ids in the result struct, the response, a declared exception and an application
  // exception.
  private static final int SUCCESS_FIELD_ID = 0;
  private static final int RESPONSE_BODY_FIELD_ID = 1;
  private static final int RESPONSE_MAP_FIELD_ID = 2;
  private static final int RESPONSE_HEALTHY_FIELD_ID = 3;
  private static final int DECLARED_MAP_FIELD_ID = 1;
  private static final int APPLICATION_MESSAGE_FIELD_ID = 1;
  private static final int APPLICATION_CODE_FIELD_ID = 2;

  private ThriftResponseEncoder() {}

  /** Encodes a reply whose result is a {@code Response} struct. */
  static byte[] response(String method, int sequenceId, byte[] body, boolean healthy) {
    ByteBuffer buffer =
        beginMessage(MessageType.REPLY, method, sequenceId, RESPONSE_OVERHEAD_BYTES + body.length);
    putFieldHeader(buffer, ThriftType.STRUCT, SUCCESS_FIELD_ID);
    putFieldHeader(buffer, ThriftType.STRING, RESPONSE_BODY_FIELD_ID);
    putBytes(buffer, body);
    putFields(buffer, RESPONSE_MAP_FIELD_ID, Map.of());
    putFieldHeader(buffer, ThriftType.BOOL, RESPONSE_HEALTHY_FIELD_ID);
    buffer.put((byte) (healthy ? 1 : 0));
    return endStructs(buffer);
  }

  /** Encodes the reply to a heartbeat. */
  static byte[] heartbeat(String method, int sequenceId, boolean healthy) {
    return response(method, sequenceId, NO_BODY, healthy);
  }

  /** Encodes a reply whose result is a declared exception. */
  static byte[] declaredException(
      String method, int sequenceId, DeclaredException exception, Map<String, String> fields) {
    int size = EXCEPTION_OVERHEAD_BYTES;
    for (Map.Entry<String, String> field : fields.entrySet()) {
      size +=
          FIELD_OVERHEAD_BYTES
              + MAX_BYTES_PER_CHAR * (field.getKey().length() + field.getValue().length());
    }
    ByteBuffer buffer = beginMessage(MessageType.REPLY, method, sequenceId, size);
    putFieldHeader(buffer, ThriftType.STRUCT, exception.fieldId());
    putFields(buffer, DECLARED_MAP_FIELD_ID, fields);
    return endStructs(buffer);
  }

  /** Encodes an application exception for a call of an unknown method. */
  static byte[] unknownMethod(String method, int sequenceId) {
    return applicationException(method, sequenceId, UNKNOWN_METHOD_CODE, "no such method");
  }

  /** Encodes an application exception for a message that is malformed after its header. */
  static byte[] protocolError(String method, int sequenceId, String reason) {
    return applicationException(method, sequenceId, PROTOCOL_ERROR_CODE, reason);
  }

  private static byte[] applicationException(
      String method, int sequenceId, int code, String message) {
    byte[] text = message.getBytes(StandardCharsets.UTF_8);
    ByteBuffer buffer =
        beginMessage(
            MessageType.EXCEPTION, method, sequenceId, EXCEPTION_OVERHEAD_BYTES + text.length);
    putFieldHeader(buffer, ThriftType.STRING, APPLICATION_MESSAGE_FIELD_ID);
    putBytes(buffer, text);
    putFieldHeader(buffer, ThriftType.I32, APPLICATION_CODE_FIELD_ID);
    buffer.putInt(code);
    buffer.put(ThriftType.STOP);
    return finishFrame(buffer);
  }

  private static ByteBuffer beginMessage(
      MessageType type, String method, int sequenceId, int maxContentBytes) {
    byte[] name = method.getBytes(StandardCharsets.UTF_8);
    ByteBuffer buffer = ByteBuffer.allocate(ENVELOPE_BYTES + name.length + maxContentBytes);
    buffer.putInt(0); // placeholder, finishFrame writes the frame's length
    buffer.putInt(ThriftMessageDecoder.STRICT_VERSION | type.code());
    putBytes(buffer, name);
    buffer.putInt(sequenceId);
    return buffer;
  }

  /** Ends the inner struct and the result struct that contains it. */
  private static byte[] endStructs(ByteBuffer buffer) {
    buffer.put(ThriftType.STOP);
    buffer.put(ThriftType.STOP);
    return finishFrame(buffer);
  }

  private static byte[] finishFrame(ByteBuffer buffer) {
    int size = buffer.position();
    buffer.putInt(0, size - LENGTH_PREFIX_BYTES);
    return size == buffer.capacity() ? buffer.array() : Arrays.copyOf(buffer.array(), size);
  }

  private static void putFieldHeader(ByteBuffer buffer, byte type, int fieldId) {
    buffer.put(type);
    buffer.putShort((short) fieldId);
  }

  private static void putFields(ByteBuffer buffer, int fieldId, Map<String, String> fields) {
    putFieldHeader(buffer, ThriftType.MAP, fieldId);
    buffer.put(ThriftType.STRING);
    buffer.put(ThriftType.STRING);
    buffer.putInt(fields.size());
    fields.forEach(
        (name, value) -> {
          putBytes(buffer, name.getBytes(StandardCharsets.UTF_8));
          putBytes(buffer, value.getBytes(StandardCharsets.UTF_8));
        });
  }

  private static void putBytes(ByteBuffer buffer, byte[] bytes) {
    buffer.putInt(bytes.length);
    buffer.put(bytes);
  }
}
