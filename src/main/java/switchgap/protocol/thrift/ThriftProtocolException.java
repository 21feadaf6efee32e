package switchgap.protocol.thrift;

/**
 * A client sent something that the protocol does not allow. The message is a part of what the
 * client is told. Without a stack trace, as such messages may come at full speed.
 */
abstract class ThriftProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  ThriftProtocolException(String message) {
    super(message, null, false, false);
  }
}
