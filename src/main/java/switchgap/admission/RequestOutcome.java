package switchgap.admission;

/** How an admitted request ended. */
public enum RequestOutcome {
  /** Succeeded within its latency objective. */
  IN_TIME,
  /** Succeeded after its latency objective. */
  LATE,
  /** Rejected, never executed, before its latency objective was over: no capacity was found. */
  SATURATED,
  /** Ended in any other way, which says nothing about the load. */
  OTHER
}
