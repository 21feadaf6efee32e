package switchgap.protocol.thrift;

/**
 * A client violated the protocol. The exception's message becomes part of the reply. It has no
 * stack trace, as clients may send invalid messages at full speed.
 */
abstract class ThriftProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  ThriftProtocolException(String message) {
    super(message, null, false, false);
  }
}
