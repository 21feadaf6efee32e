package switchgap.policy.state;

/** The state of one attempt of a request at a worker. */
public final class AttemptState {
  private final boolean replicaLoaded;
  private final boolean waitsForLoad;
  private boolean ended;

  /**
   * Creates the state of an attempt that is about to be sent.
   *
   * @param replicaLoaded whether the replica at the worker is presumed to be loaded
   * @param loadsOnDemand whether workers load a missing replica on demand
   */
  public AttemptState(boolean replicaLoaded, boolean loadsOnDemand) {
    this.replicaLoaded = replicaLoaded;
    this.waitsForLoad = !replicaLoaded && loadsOnDemand;
  }

  /** Whether the replica at the worker was presumed to be loaded when the attempt was sent. */
  public boolean replicaLoaded() {
    return replicaLoaded;
  }

  /** Whether the attempt waits until the worker has loaded a replica on demand. */
  boolean waitsForLoad() {
    return waitsForLoad;
  }

  boolean isInFlight() {
    return !ended;
  }

  void ended() {
    ended = true;
  }
}
