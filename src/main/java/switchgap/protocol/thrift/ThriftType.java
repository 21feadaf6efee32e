package switchgap.protocol.thrift;

/** Type codes of fields and container elements in the Thrift binary protocol. */
final class ThriftType {
  /** Marks the end of a struct, where otherwise the type of the next field would be. */
  static final byte STOP = 0;

  static final byte BOOL = 2;
  static final byte BYTE = 3;
  static final byte DOUBLE = 4;
  static final byte I16 = 6;
  static final byte I32 = 8;
  static final byte I64 = 10;

  /** Type of both text and binary data. */
  static final byte STRING = 11;

  static final byte STRUCT = 12;
  static final byte MAP = 13;
  static final byte SET = 14;
  static final byte LIST = 15;

  private ThriftType() {}
}
