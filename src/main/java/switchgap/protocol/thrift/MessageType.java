package switchgap.protocol.thrift;

/** What a Thrift message is, by the code in its header. */
enum MessageType {
  /** A request that expects a reply. */
  CALL(1),
  /** The reply to a request, a declared exception included. */
  REPLY(2),
  /** An application exception. */
  EXCEPTION(3),
  /** A request without a reply. */
  ONEWAY(4);

  private static final MessageType[] VALUES = values();

  private final int code;

  MessageType(int code) {
    this.code = code;
  }

  /** The code on the wire. */
  int code() {
    return code;
  }

  /** The type that has a code, or null. */
  static MessageType of(int code) {
    for (MessageType type : VALUES) {
      if (type.code == code) {
        return type;
      }
    }
    return null;
  }

  /** Whether only a client sends it. */
  boolean isRequest() {
    return this == CALL || this == ONEWAY;
  }
}
