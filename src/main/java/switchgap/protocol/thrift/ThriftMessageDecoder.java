package switchgap.protocol.thrift;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Decodes one frame as a message. Every length is checked against the remaining bytes before memory
 * is allocated for it. Unknown arguments are skipped.
 */
final class ThriftMessageDecoder {
  /**
   * Version and flags of the strict binary protocol; the least significant byte of the header holds
   * the message type.
   */
  static final int STRICT_VERSION = 0x80010000;

  private static final int VERSION_MASK = 0xffffff00;
  private static final int MESSAGE_TYPE_MASK = 0xff;
  private static final int FIRST_ARGUMENT_ID = 1;
  private static final int BODY_ARGUMENT_ID = 2;

  /** Maximum number of entries of the field map, and of arguments of a message. */
  private static final int MAX_FIELDS = 64;

  /** Maximum bytes of a method name or of a field name. */
  private static final int MAX_NAME_BYTES = 64;

  /** Maximum bytes of a field value. */
  private static final int MAX_VALUE_BYTES = 1024;

  /** Maximum nesting depth of containers in a skipped argument. */
  private static final int MAX_NESTING_DEPTH = 8;

  private final ByteBuffer buffer;
  private MessageType type;
  private String method;
  private int sequenceId;
  private Map<String, String> fields;
  private byte[] body;
  private int firstInteger;

  private ThriftMessageDecoder(byte[] frame) {
    buffer = ByteBuffer.wrap(frame);
  }

  /** Decodes a frame that is passed without its length prefix. */
  static ThriftMessage decode(byte[] frame) throws MalformedMessageException {
    return new ThriftMessageDecoder(frame).decode();
  }

  /**
   * Decodes only the header of a frame; the arguments may be malformed.
   *
   * @throws MalformedMessageException if the frame does not start with a header
   */
  static ThriftMessageHeader decodeHeader(byte[] frame) throws MalformedMessageException {
    ThriftMessageDecoder decoder = new ThriftMessageDecoder(frame);
    decoder.readHeader();
    return new ThriftMessageHeader(decoder.type, decoder.method, decoder.sequenceId);
  }

  private ThriftMessage decode() throws MalformedMessageException {
    readHeader();
    try {
      readArguments();
    } catch (BufferUnderflowException e) {
      throw endsTooSoon();
    }
    if (buffer.hasRemaining()) {
      throw malformed(buffer.remaining() + " bytes behind the message");
    }
    return new ThriftMessage(type, method, sequenceId, fields, body, firstInteger);
  }

  private void readHeader() throws MalformedMessageException {
    try {
      readHeaderFields();
    } catch (BufferUnderflowException e) {
      throw endsTooSoon();
    }
  }

  private void readHeaderFields() throws MalformedMessageException {
    int header = buffer.getInt();
    if ((header & VERSION_MASK) != STRICT_VERSION) {
      throw malformed("no strict binary message");
    }
    int typeCode = header & MESSAGE_TYPE_MASK;
    type = MessageType.of(typeCode);
    if (type == null) {
      throw malformed("message type " + typeCode);
    }
    String name = readText(MAX_NAME_BYTES);
    sequenceId = buffer.getInt();
    method = name; // errors after the header can be answered
  }

  private void readArguments() throws MalformedMessageException {
    int count = 0;
    for (byte fieldType = buffer.get(); fieldType != ThriftType.STOP; fieldType = buffer.get()) {
      count++;
      if (count > MAX_FIELDS) {
        throw malformed("too many arguments");
      }
      readArgument(fieldType, buffer.getShort());
    }
  }

  private void readArgument(byte fieldType, int fieldId) throws MalformedMessageException {
    if (fieldId == FIRST_ARGUMENT_ID && fieldType == ThriftType.MAP && fields == null) {
      fields = readFields();
    } else if (fieldId == BODY_ARGUMENT_ID && fieldType == ThriftType.STRING && body == null) {
      body = new byte[readLength(buffer.capacity())];
      buffer.get(body);
    } else if (fieldId == FIRST_ARGUMENT_ID && fieldType == ThriftType.I32) {
      firstInteger = buffer.getInt();
    } else {
      skip(fieldType, 0);
    }
  }

  private Map<String, String> readFields() throws MalformedMessageException {
    byte keyType = buffer.get();
    byte valueType = buffer.get();
    int count = buffer.getInt();
    if (count < 0 || count > MAX_FIELDS) {
      throw malformed("a map of " + count);
    }
    if (count > 0 && (keyType != ThriftType.STRING || valueType != ThriftType.STRING)) {
      throw malformed("a map of types " + keyType + ", " + valueType);
    }
    Map<String, String> fieldValues = new HashMap<>(2 * count);
    for (int i = 0; i < count; i++) {
      String name = readText(MAX_NAME_BYTES);
      String value = readText(MAX_VALUE_BYTES);
      if (fieldValues.put(name, value) != null) {
        throw malformed("a field twice");
      }
    }
    return fieldValues;
  }

  private String readText(int maxBytes) throws MalformedMessageException {
    int length = readLength(maxBytes);
    String text = new String(buffer.array(), buffer.position(), length, StandardCharsets.UTF_8);
    buffer.position(buffer.position() + length);
    return text;
  }

  private int readLength(int maxBytes) throws MalformedMessageException {
    int length = buffer.getInt();
    if (length < 0 || length > maxBytes || length > buffer.remaining()) {
      throw malformed("a length of " + length + " with " + buffer.remaining() + " bytes left");
    }
    return length;
  }

  private void skip(byte valueType, int depth) throws MalformedMessageException {
    if (depth > MAX_NESTING_DEPTH) {
      throw malformed("nested too deep");
    }
    switch (valueType) {
      case ThriftType.BOOL, ThriftType.BYTE -> skipBytes(Byte.BYTES);
      case ThriftType.I16 -> skipBytes(Short.BYTES);
      case ThriftType.I32 -> skipBytes(Integer.BYTES);
      case ThriftType.DOUBLE, ThriftType.I64 -> skipBytes(Long.BYTES);
      case ThriftType.STRING -> skipBytes(readLength(buffer.capacity()));
      case ThriftType.STRUCT -> skipStruct(depth);
      case ThriftType.MAP -> skipMap(depth);
      case ThriftType.SET, ThriftType.LIST -> skipElements(depth);
      default -> throw malformed("type " + valueType);
    }
  }

  private void skipStruct(int depth) throws MalformedMessageException {
    for (byte fieldType = buffer.get(); fieldType != ThriftType.STOP; fieldType = buffer.get()) {
      skipBytes(Short.BYTES); // skips the field id
      skip(fieldType, depth + 1);
    }
  }

  private void skipMap(int depth) throws MalformedMessageException {
    byte keyType = buffer.get();
    byte valueType = buffer.get();
    int count = readCount();
    for (int i = 0; i < count; i++) {
      skip(keyType, depth + 1);
      skip(valueType, depth + 1);
    }
  }

  private void skipElements(int depth) throws MalformedMessageException {
    byte elementType = buffer.get();
    int count = readCount();
    for (int i = 0; i < count; i++) {
      skip(elementType, depth + 1);
    }
  }

  /** Reads the element count of a container; every element takes at least one byte. */
  private int readCount() throws MalformedMessageException {
    int count = buffer.getInt();
    if (count < 0 || count > buffer.remaining()) {
      throw malformed("a count of " + count);
    }
    return count;
  }

  private void skipBytes(int count) {
    if (count > buffer.remaining()) {
      throw new BufferUnderflowException();
    }
    buffer.position(buffer.position() + count);
  }

  private MalformedMessageException endsTooSoon() {
    return malformed("ends too soon");
  }

  private MalformedMessageException malformed(String reason) {
    return new MalformedMessageException(reason, method, sequenceId);
  }
}
