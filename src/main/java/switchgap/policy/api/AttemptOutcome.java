package switchgap.policy.api;

/**
 * The outcome of an attempt, a load probe or a load command, and whether it proves that the request
 * was not executed.
 */
public enum AttemptOutcome {
  /** The worker responded. */
  SUCCEEDED(false),
  /** The worker responded with an error; it may have executed the request. */
  FAILED(false),
  /** The worker rejected the request for lack of capacity, without executing it. */
  REJECTED(true),
  /** No response arrived before the timeout. */
  TIMED_OUT(false),
  /** No connection could be opened. */
  CONNECT_FAILED(true),
  /** The connection was lost before the response. */
  CONNECTION_LOST(false),
  /** This router cancelled it. */
  CANCELLED(false),
  /** No byte of the request was sent. */
  NOT_SENT(true),
  /** The worker has no replica of the function and did not execute the request. */
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
