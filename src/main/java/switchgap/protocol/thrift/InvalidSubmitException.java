package switchgap.protocol.thrift;

/** A readable submit that cannot be used; the exception's message names the field at fault. */
final class InvalidSubmitException extends ThriftProtocolException {
  private static final long serialVersionUID = 1;

  InvalidSubmitException(String field) {
    super(field);
  }
}
