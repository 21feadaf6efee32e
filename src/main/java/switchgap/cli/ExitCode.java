package switchgap.cli;

/** Exit codes of the commands. */
final class ExitCode {
  /** The command succeeded. */
  static final int OK = 0;

  /** The command failed, or a checked invariant was violated. */
  static final int FAILURE = 1;

  /** The command line or a file is invalid, or the router sent an unexpected response. */
  static final int UNUSABLE_INPUT = 2;

  /** The router rejected a request before it was executed. */
  static final int REQUEST_REJECTED = 3;

  /** A request failed and may have been executed. */
  static final int REQUEST_FAILED = 4;

  private ExitCode() {}
}
