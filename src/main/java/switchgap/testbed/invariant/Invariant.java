package switchgap.testbed.invariant;

/**
 * Invariants of every run, whatever faults are injected. The scenario checker and the soak checker
 * each check those that their records allow. Each prints an invariant by a label of its own;
 * published reports use these labels, so they must not change.
 */
public enum Invariant {
  /** Each request receives one final response before its deadline. */
  FINAL_RESPONSE_IN_TIME("answers", "LOST"),
  /** A delivered response was produced by a worker for this request and is delivered once. */
  RESPONSE_MATCHES_REQUEST(null, "ANSWER"),
  /** A non-idempotent request takes effect at most once. */
  NO_DUPLICATE_EFFECT("repeats", "DUPLICATE"),
  /** No new request or load command is sent to a worker that is draining or gone. */
  NO_SEND_TO_DRAINING_WORKER("drains", "DRAIN"),
  /** A worker is not overloaded while it is in slow start. */
  SLOW_START("cold workers", "FAILBACK"),
  /** The number of load commands stays within the quota. */
  LOAD_QUOTA("ration", null),
  /** No attempt starts after the client has cancelled the request or closed its connection. */
  NO_ATTEMPT_AFTER_CANCELLATION(null, "CLIENT_GONE"),
  /** The timeout passed to a worker is at most the remaining timeout of the client. */
  DEADLINE_PROPAGATION(null, "DEADLINE"),
  /** No router process crashes, fails to start or stop, or exceeds its resource limits. */
  PROCESS_HEALTH(null, "PROCESS");

  private final String scenarioLabel;
  private final String soakLabel;

  Invariant(String scenarioLabel, String soakLabel) {
    this.scenarioLabel = scenarioLabel;
    this.soakLabel = soakLabel;
  }

  /**
   * The label in reports of scenario runs.
   *
   * @return the label; null if the scenario checker does not check this invariant
   */
  public String scenarioLabel() {
    return scenarioLabel;
  }

  /**
   * The label in reports of soak runs.
   *
   * @return the label; null if the soak checker does not check this invariant
   */
  public String soakLabel() {
    return soakLabel;
  }
}
