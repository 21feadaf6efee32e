package switchgap.protocol.thrift;

/**
 * Thrown when a client violates the protocol. The exception's message becomes part of the reply.
 * There is no stack trace, as clients may send invalid messages at a high rate.
 */
abstract class ThriftProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  ThriftProtocolException(String message) {
    super(message, null, false, false);
  }
}
