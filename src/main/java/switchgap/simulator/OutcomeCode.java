package switchgap.simulator;

import switchgap.policy.api.AttemptOutcome;

/** The simulator's codes for the outcome of an attempt, a load probe or a load command. */
final class OutcomeCode {
  private static final int SUCCEEDED = 0;
  private static final int CANCELLED = 1;
  private static final int TIMED_OUT = 4;
  private static final int NOT_LOADED = 5;
  private static final int REJECTED = 8;
  private static final int NOT_SENT = 9;
  private static final int CONNECTION_LOST = 10;
  private static final int FAILED = 13;
  private static final int CONNECT_FAILED = 14;

  private OutcomeCode() {}

  /**
   * Returns the outcome with this code.
   *
   * @throws IllegalArgumentException if the code is unknown
   */
  static AttemptOutcome decode(int code) {
    return switch (code) {
      case SUCCEEDED -> AttemptOutcome.SUCCEEDED;
      case FAILED -> AttemptOutcome.FAILED;
      case REJECTED -> AttemptOutcome.REJECTED;
      case TIMED_OUT -> AttemptOutcome.TIMED_OUT;
      case CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
      case CONNECTION_LOST -> AttemptOutcome.CONNECTION_LOST;
      case CANCELLED -> AttemptOutcome.CANCELLED;
      case NOT_SENT -> AttemptOutcome.NOT_SENT;
      case NOT_LOADED -> AttemptOutcome.NOT_LOADED;
      default -> throw new IllegalArgumentException("unknown outcome code " + code);
    };
  }
}
