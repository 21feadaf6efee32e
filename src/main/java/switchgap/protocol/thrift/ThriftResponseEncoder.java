package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/** Encodes replies and application exceptions, each as a complete frame with its length prefix. */
final class ThriftResponseEncoder {
  private static final byte[] NO_BODY = {};
  private static final int LENGTH_BYTES = 4;

  /** The frame's length, the header, the length of the method's name and the sequence id. */
  private static final int ENVELOPE_BYTES = 16;

  /** Enough for a response struct without its body. */
  private static final int RESPONSE_BYTES = 40;

  /** Enough for an exception struct without its fields or text. */
  private static final int EXCEPTION_BYTES = 32;

  /** Lengths of a field's name and of its value. */
  private static final int FIELD_LENGTHS_BYTES = 8;

  /** The most that UTF-8 needs for one char of a string. */
  private static final int MAX_BYTES_PER_CHAR = 3;

  // Codes of application exceptions.
  private static final int UNKNOWN_METHOD = 1;
  private static final int PROTOCOL_ERROR = 7;

  // Fields of a result struct, of a response, of a declared and of an application exception.
  private static final int RESULT_SUCCESS = 0;
  private static final int RESPONSE_BODY = 1;
  private static final int RESPONSE_FIELDS = 2;
  private static final int RESPONSE_HEALTHY = 3;
  private static final int DECLARED_FIELDS = 1;
  private static final int APPLICATION_MESSAGE = 1;
  private static final int APPLICATION_CODE = 2;

  private ThriftResponseEncoder() {}

  /** A {@code Response} struct as the result. */
  static byte[] response(String method, int sequenceId, byte[] body, boolean healthy) {
    ByteBuffer buffer = begin(MessageType.REPLY, method, sequenceId, RESPONSE_BYTES + body.length);
    putFieldHeader(buffer, ThriftType.STRUCT, RESULT_SUCCESS);
    putFieldHeader(buffer, ThriftType.STRING, RESPONSE_BODY);
    putBytes(buffer, body);
    putFields(buffer, RESPONSE_FIELDS, Map.of());
    putFieldHeader(buffer, ThriftType.BOOL, RESPONSE_HEALTHY);
    buffer.put((byte) (healthy ? 1 : 0));
    return endStructs(buffer);
  }

  /** The reply to a heartbeat. */
  static byte[] heartbeat(String method, int sequenceId, boolean healthy) {
    return response(method, sequenceId, NO_BODY, healthy);
  }

  /** A declared exception as the result. */
  static byte[] declaredException(
      String method, int sequenceId, DeclaredException exception, Map<String, String> fields) {
    int size = EXCEPTION_BYTES;
    for (Map.Entry<String, String> field : fields.entrySet()) {
      size +=
          FIELD_LENGTHS_BYTES
              + MAX_BYTES_PER_CHAR * (field.getKey().length() + field.getValue().length());
    }
    ByteBuffer buffer = begin(MessageType.REPLY, method, sequenceId, size);
    putFieldHeader(buffer, ThriftType.STRUCT, exception.fieldId());
    putFields(buffer, DECLARED_FIELDS, fields);
    return endStructs(buffer);
  }

  /** An application exception: the service has no such method. */
  static byte[] unknownMethod(String method, int sequenceId) {
    return applicationException(method, sequenceId, UNKNOWN_METHOD, "no such method");
  }

  /** An application exception: the message could not be read behind its header. */
  static byte[] protocolError(String method, int sequenceId, String reason) {
    return applicationException(method, sequenceId, PROTOCOL_ERROR, reason);
  }

  private static byte[] applicationException(
      String method, int sequenceId, int code, String message) {
    byte[] text = message.getBytes(StandardCharsets.UTF_8);
    ByteBuffer buffer =
        begin(MessageType.EXCEPTION, method, sequenceId, EXCEPTION_BYTES + text.length);
    putFieldHeader(buffer, ThriftType.STRING, APPLICATION_MESSAGE);
    putBytes(buffer, text);
    putFieldHeader(buffer, ThriftType.I32, APPLICATION_CODE);
    buffer.putInt(code);
    buffer.put(ThriftType.STOP);
    return finish(buffer);
  }

  private static ByteBuffer begin(
      MessageType type, String method, int sequenceId, int maxContentBytes) {
    byte[] name = method.getBytes(StandardCharsets.UTF_8);
    ByteBuffer buffer = ByteBuffer.allocate(ENVELOPE_BYTES + name.length + maxContentBytes);
    buffer.putInt(0); // the frame's length, known at the end
    buffer.putInt(ThriftMessageDecoder.STRICT_VERSION | type.code());
    putBytes(buffer, name);
    buffer.putInt(sequenceId);
    return buffer;
  }

  /** Ends the inner struct and the result struct around it. */
  private static byte[] endStructs(ByteBuffer buffer) {
    buffer.put(ThriftType.STOP);
    buffer.put(ThriftType.STOP);
    return finish(buffer);
  }

  private static byte[] finish(ByteBuffer buffer) {
    int size = buffer.position();
    buffer.putInt(0, size - LENGTH_BYTES);
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
