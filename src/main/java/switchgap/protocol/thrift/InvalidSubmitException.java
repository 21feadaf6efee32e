package switchgap.protocol.thrift;

/**
 * A well-formed submit with a missing or invalid field; the exception's message is the name of that
 * field.
 */
final class InvalidSubmitException extends ThriftProtocolException {
  private static final long serialVersionUID = 1;

  InvalidSubmitException(String field) {
    super(field);
  }
}
