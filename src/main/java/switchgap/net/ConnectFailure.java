package switchgap.net;

/**
 * The reason why a connection could not be opened.
 *
 * @param reason the kind of failure
 * @param detail description of this failure for log lines
 */
public record ConnectFailure(Reason reason, String detail) {
  /** Kinds of failures. */
  public enum Reason {
    /** The connection was not open within its timeout. */
    TIMED_OUT,
    /**
     * The system call failed: the port is closed, the host is unreachable, or no file descriptor is
     * available.
     */
    SYSTEM_ERROR,
    /** The attempt was cancelled because its transport was closed. */
    CANCELLED
  }

  /** Returns the detail, for log lines. */
  @Override
  public String toString() {
    return detail;
  }
}
