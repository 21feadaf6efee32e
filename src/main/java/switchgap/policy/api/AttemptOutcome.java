package switchgap.policy.api;

/**
 * How an attempt, a probe or a load command ended, and whether that proves that the request was not
 * executed.
 */
public enum AttemptOutcome {
  /** The worker answered. */
  SUCCEEDED(false),
  /** The worker answered with an error; it may have executed the request. */
  FAILED(false),
  /** The worker had no capacity and says that it did not execute the request. */
  REJECTED(true),
  /** No answer came in time. */
  TIMED_OUT(false),
  /** No connection could be opened. */
  CONNECT_FAILED(true),
  /** The connection ended under the request. */
  CONNECTION_LOST(false),
  /** This router cancelled it. */
  CANCELLED(false),
  /** No byte of it went out. */
  NOT_SENT(true),
  /** The worker has no replica of the function and says that it did not execute the request. */
  NOT_LOADED(true);

  private final boolean neverExecuted;

  AttemptOutcome(boolean neverExecuted) {
    this.neverExecuted = neverExecuted;
  }

  /** Whether the request is known not to have been executed. */
  public boolean neverExecuted() {
    return neverExecuted;
  }
}
