package switchgap.protocol.thrift;

/** A readable request that cannot be used; the message names the field at fault. */
final class InvalidSubmitException extends ThriftProtocolException {
  private static final long serialVersionUID = 1;

  InvalidSubmitException(String field) {
    super(field);
  }
}
