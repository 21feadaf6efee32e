package switchgap.protocol.thrift;

/** Type of a Thrift message, with its code in the message header. */
enum MessageType {
  /** A request that expects a reply. */
  CALL(1),
  /** The reply to a request: a result or a declared exception. */
  REPLY(2),
  /** A reply that reports a protocol error, such as an unknown method. */
  EXCEPTION(3),
  /** A request without a reply. */
  ONEWAY(4);

  private static final MessageType[] VALUES = values();

  private final int code;

  MessageType(int code) {
    this.code = code;
  }

  /** The code in the message header. */
  int code() {
    return code;
  }

  /** The type with this code, or null if there is none. */
  static MessageType of(int code) {
    for (MessageType type : VALUES) {
      if (type.code == code) {
        return type;
      }
    }
    return null;
  }

  /** Whether messages of this type are sent by clients only. */
  boolean isRequest() {
    return this == CALL || this == ONEWAY;
  }
}
