package switchgap.policy.state;

/**
 * What a walk along a function's hash order met for one request. Workers are null where none was
 * met.
 */
public final class CandidateSurvey {
  /** The first worker met at all. */
  public Worker first;

  /** Of the target replicas, the one to take. */
  public Worker best;

  /** Another of the target replicas. */
  public Worker alternative;

  /** A target worker whose replica is not known, or would be loaded on demand. */
  public Worker unknown;

  /** A loaded replica past the target. */
  public Worker overflow;

  /** The next worker past the target. */
  public Worker next;

  /** Whether any replica was loaded. */
  public boolean loaded;

  /** Whether any replica was on its way. */
  public boolean loading;

  /** Whether a target replica was at its limit. */
  public boolean saturated;

  private double leastLoad = Double.MAX_VALUE;

  /** Notes a worker on the way. */
  public void met(Worker worker, boolean replicaLoaded, boolean replicaLoading) {
    first = first == null ? worker : first;
    loaded |= replicaLoaded;
    loading |= replicaLoading;
  }

  /**
   * Notes a target replica that may be taken: it becomes the best where its load is less by a
   * difference.
   */
  public void candidate(Worker worker, double load, double difference) {
    if (load < leastLoad - (best == null ? 0 : difference)) {
      alternative = best;
      best = worker;
      leastLoad = load;
    } else if (alternative == null) {
      alternative = worker;
    }
  }
}
