package switchgap.cli;

/** Exit codes that the commands share. */
final class ExitCode {
  /** Done. */
  static final int OK = 0;

  /** The command failed, or an invariant was violated. */
  static final int FAILURE = 1;

  /** The command line, a file or a response is unusable. */
  static final int UNUSABLE_INPUT = 2;

  /** A request was rejected by the router before it ran. */
  static final int REQUEST_REJECTED = 3;

  /** A request failed: it may have run. */
  static final int REQUEST_FAILED = 4;

  private ExitCode() {}
}
