package switchgap.net;

/**
 * Why a connection could not be opened.
 *
 * @param reason the kind of failure
 * @param detail what log lines say of this failure
 */
public record ConnectFailure(Reason reason, String detail) {
  /** Kinds of failures. */
  public enum Reason {
    /** The connection was not open within its timeout. */
    TIMED_OUT,
    /** The system refused: the port is closed, the host unreachable, or descriptors are short. */
    SYSTEM_ERROR,
    /** The attempt was cancelled, as its transport was closed. */
    CANCELLED
  }

  /** The text for log lines. */
  @Override
  public String toString() {
    return detail;
  }
}
