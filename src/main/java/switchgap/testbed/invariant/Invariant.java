package switchgap.testbed.invariant;

/**
 * What must hold in every run, whatever faults are injected. The scenario checker and the soak
 * checker each check those that their records can show; each prints an invariant by its own label,
 * which published reports name and which therefore stays as it is.
 */
public enum Invariant {
  /** Each request receives one final response before its deadline. */
  FINAL_RESPONSE_IN_TIME("answers", "LOST"),
  /** A response is one that a worker produced for this request, and is delivered once. */
  RESPONSE_MATCHES_REQUEST(null, "ANSWER"),
  /** A non-idempotent request takes effect at most once. */
  NO_DUPLICATE_EFFECT("repeats", "DUPLICATE"),
  /** Nothing new is sent to a worker that is draining or gone. */
  NO_SEND_TO_DRAINING_WORKER("drains", "DRAIN"),
  /** A worker that is warming up is not overloaded. */
  SLOW_START("cold workers", "FAILBACK"),
  /** Load commands stay within the quota. */
  LOAD_QUOTA("ration", null),
  /** No attempt starts after the client has cancelled the request or closed its connection. */
  NO_ATTEMPT_AFTER_CANCELLATION(null, "CLIENT_GONE"),
  /** The timeout passed to a worker is at most what is left of the client's. */
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
   * The label in the report of a scenario.
   *
   * @return the label, null where the scenario checker does not check this invariant
   */
  public String scenarioLabel() {
    return scenarioLabel;
  }

  /**
   * The label in the report of a soak.
   *
   * @return the label, null where the soak checker does not check this invariant
   */
  public String soakLabel() {
    return soakLabel;
  }
}
