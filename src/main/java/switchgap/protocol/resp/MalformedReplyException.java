package switchgap.protocol.resp;

/**
 * Bytes from a worker that are no reply. Where the next reply would begin is unknown, so the
 * connection must be closed.
 */
final class MalformedReplyException extends Exception {
  private static final long serialVersionUID = 1;

  /** Has no stack trace, since peers can cause it at any rate. */
  MalformedReplyException(String message) {
    super(message, null, false, false);
  }
}
