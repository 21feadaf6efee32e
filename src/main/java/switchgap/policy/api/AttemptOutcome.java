package switchgap.policy.api;

/**
 * The outcome of an attempt, a load probe or a load command. Each constant states whether the
 * outcome excludes that the request was executed.
 */
public enum AttemptOutcome {
  /** The worker responded without an error. */
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
  /** This router cancelled the attempt. */
  CANCELLED(false),
  /** No byte of the request was sent. */
  NOT_SENT(true),
  /** The worker has no replica of the function and did not execute the request. */
  NOT_LOADED(true);

  private final boolean neverExecuted;

  AttemptOutcome(boolean neverExecuted) {
    this.neverExecuted = neverExecuted;
  }

  /** Whether the request was certainly not executed. */
  public boolean neverExecuted() {
    return neverExecuted;
  }
}
