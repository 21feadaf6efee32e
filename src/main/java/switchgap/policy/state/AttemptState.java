package switchgap.policy.state;

/** One attempt of a request at a worker. */
public final class AttemptState {
  /** Whether a replica was thought to be loaded there. */
  public final boolean replicaLoaded;

  /** Whether it waits for a replica to be loaded on demand. */
  public final boolean waitsForLoad;

  public boolean ended;

  /** An attempt that is about to be sent. */
  public AttemptState(boolean replicaLoaded, boolean loadsOnDemand) {
    this.replicaLoaded = replicaLoaded;
    this.waitsForLoad = !replicaLoaded && loadsOnDemand;
  }
}
