package switchgap.protocol.thrift;

/** A frame that cannot be decoded as a message. */
final class MalformedMessageException extends ThriftProtocolException {
  private static final long serialVersionUID = 1;

  private final String method;
  private final int sequenceId;

  MalformedMessageException(String message, String method, int sequenceId) {
    super(message);
    this.method = method;
    this.sequenceId = sequenceId;
  }

  /** The method's name, or null if the message's header could not be read. */
  String method() {
    return method;
  }

  /** The sequence id; undefined if the message's header could not be read. */
  int sequenceId() {
    return sequenceId;
  }
}
