package switchgap.policy.state;

/**
 * The workers that a walk along a function's hash order found for one request. A worker is null
 * where none was found. It records and decides nothing but which of two loads is less.
 */
public final class CandidateSurvey {
  private Worker first;
  private Worker best;
  private Worker alternative;
  private Worker unknown;
  private Worker overflow;
  private Worker next;
  private boolean anyLoaded;
  private boolean anyLoading;
  private boolean anySaturated;
  private double leastLoad = Double.MAX_VALUE;

  /** Records a worker on the way and the believed state of its replica. */
  public void visited(Worker worker, Replica.State replica) {
    first = first == null ? worker : first;
    anyLoaded |= replica == Replica.State.LOADED;
    anyLoading |= replica == Replica.State.LOADING;
  }

  /**
   * Records an available target replica: it becomes the best one if its load is less than the best
   * one's by more than a difference.
   */
  public void foundAvailable(Worker worker, double load, double difference) {
    if (load < leastLoad - (best == null ? 0 : difference)) {
      alternative = best;
      best = worker;
      leastLoad = load;
    } else if (alternative == null) {
      alternative = worker;
    }
  }

  /** Records an available target worker whose replica is unknown or loaded on demand. */
  public void foundUnknown(Worker worker) {
    unknown = unknown == null ? worker : unknown;
  }

  /** Records a target replica that is at its limit. */
  public void foundSaturated() {
    anySaturated = true;
  }

  /** Records an available loaded replica past the target. */
  public void foundOverflow(Worker worker) {
    overflow = worker;
  }

  /** Records a worker past the target where a replica could be loaded. */
  public void foundNext(Worker worker) {
    next = worker;
  }

  /** The first worker visited. */
  public Worker first() {
    return first;
  }

  /** The target replica to take. */
  public Worker best() {
    return best;
  }

  /** Another available target replica. */
  public Worker alternative() {
    return alternative;
  }

  /** The first available target worker whose replica is unknown or loaded on demand. */
  public Worker unknown() {
    return unknown;
  }

  /** The available loaded replica past the target. */
  public Worker overflow() {
    return overflow;
  }

  /** The first worker past the target where a replica could be loaded. */
  public Worker next() {
    return next;
  }

  /** Whether an available loaded replica was found. */
  public boolean hasAvailableReplica() {
    return best != null || overflow != null;
  }

  /** Whether any visited worker has the replica loaded. */
  public boolean anyLoaded() {
    return anyLoaded;
  }

  /** Whether any visited worker is loading the replica. */
  public boolean anyLoading() {
    return anyLoading;
  }

  /** Whether any target replica is at its limit. */
  public boolean anySaturated() {
    return anySaturated;
  }
}
