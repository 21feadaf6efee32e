package switchgap.protocol.resp;

/**
 * Thrown when bytes from a worker do not form a valid reply. The start of the next reply is then
 * unknown, so the connection must be closed.
 */
final class MalformedReplyException extends Exception {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception without a stack trace, because a faulty peer can trigger it at a high
   * rate.
   */
  MalformedReplyException(String message) {
    super(message, null, false, false);
  }
}
