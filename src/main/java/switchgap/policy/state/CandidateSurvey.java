package switchgap.policy.state;

/**
 * The result of visiting workers in a function's hash order to find candidates for one request. The
 * target replicas are the first ones in that order, as many as the function's target replica count.
 * Each getter of a worker returns null if none was found.
 */
public final class CandidateSurvey {
  private Worker first;
  private Worker best;
  private Worker alternative;
  private Worker possiblyMissing;
  private Worker overflow;
  private Worker nextToLoad;
  private boolean anyLoaded;
  private boolean anyLoading;
  private boolean anySaturated;
  private double leastLoad = Double.MAX_VALUE;

  /** Records a visited worker and the presumed state of its replica. */
  public void visited(Worker worker, Replica.State replica) {
    first = first == null ? worker : first;
    anyLoaded |= replica == Replica.State.LOADED;
    anyLoading |= replica == Replica.State.LOADING;
  }

  /**
   * Records an available target replica. It replaces the best one if its load is lower by more than
   * {@code minDifference}.
   */
  public void foundAvailable(Worker worker, double load, double minDifference) {
    if (load < leastLoad - (best == null ? 0 : minDifference)) {
      alternative = best;
      best = worker;
      leastLoad = load;
    } else if (alternative == null) {
      alternative = worker;
    }
  }

  /** Records an available worker among the targets whose replica may have to be loaded first. */
  public void foundPossiblyMissing(Worker worker) {
    possiblyMissing = possiblyMissing == null ? worker : possiblyMissing;
  }

  /** Records a target replica that is at its concurrency limit. */
  public void foundSaturated() {
    anySaturated = true;
  }

  /** Records an available loaded replica beyond the target replicas. */
  public void foundOverflow(Worker worker) {
    overflow = worker;
  }

  /** Records a worker beyond the target replicas where a replica could be loaded. */
  public void foundNextToLoad(Worker worker) {
    nextToLoad = worker;
  }

  /** The first worker visited. */
  public Worker first() {
    return first;
  }

  /** The target replica to prefer. */
  public Worker best() {
    return best;
  }

  /** Another available target replica. */
  public Worker alternative() {
    return alternative;
  }

  /** The first available worker among the targets whose replica may have to be loaded first. */
  public Worker possiblyMissing() {
    return possiblyMissing;
  }

  /** The available loaded replica beyond the target replicas. */
  public Worker overflow() {
    return overflow;
  }

  /** The first worker beyond the target replicas where a replica could be loaded. */
  public Worker nextToLoad() {
    return nextToLoad;
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

  /** Whether any target replica is at its concurrency limit. */
  public boolean anySaturated() {
    return anySaturated;
  }
}
