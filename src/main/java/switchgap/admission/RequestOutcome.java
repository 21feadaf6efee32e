package switchgap.admission;

/** The outcome of an admitted request, as used to measure the load. */
public enum RequestOutcome {
  /** The request succeeded within its latency objective. */
  IN_TIME,
  /** The request succeeded after its latency objective. */
  LATE,
  /**
   * The request was rejected without being executed, within or shortly after its latency objective:
   * no capacity was found.
   */
  SATURATED,
  /** Any other outcome, which does not indicate the load. */
  OTHER
}
