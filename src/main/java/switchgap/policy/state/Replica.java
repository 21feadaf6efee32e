package switchgap.policy.state;

import java.time.Duration;

/** What this router believes of a function's replica at one worker. */
public final class Replica {
  /** The believed state. */
  public enum State {
    /** Neither known to be loaded nor to be absent. */
    UNKNOWN,
    /** The worker does not have it. */
    ABSENT,
    /** A command to load it is in flight. */
    LOADING,
    /** The worker has it. */
    LOADED
  }

  private State state;
  private Duration lastUsed;
  private Duration loadCommandedAt;
  private Duration loadRejectedAt;
  private boolean queryPending;
  private boolean loadPending;

  Replica(State initial) {
    state = initial;
  }

  /** The state believed last; it may be outdated, see {@link PolicyState#replicaState}. */
  public State state() {
    return state;
  }

  /** When it was last known to serve, or was last renewed. */
  public Duration lastUsed() {
    return lastUsed;
  }

  /** When a load was rejected, as the worker has no memory or drains; null otherwise. */
  public Duration loadRejectedAt() {
    return loadRejectedAt;
  }

  /** Whether a query for it, or a command to renew it, is in flight. */
  public boolean isQueryPending() {
    return queryPending;
  }

  /** Whether a command to load it is in flight, whatever is believed meanwhile. */
  public boolean isLoadPending() {
    return loadPending;
  }

  /** A command to load it is sent. */
  public void loadStarted(Duration now) {
    state = State.LOADING;
    loadCommandedAt = now;
    loadPending = true;
  }

  /** A query for it, or a command to renew it, is sent; the believed state stays until its end. */
  public void queryStarted() {
    queryPending = true;
  }

  /** A query or renewal ended; it counts unless the belief has changed meanwhile. */
  public void queryEnded(int loadedReplicas, boolean rejected, Duration now) {
    queryPending = false;
    lastUsed = now;
    if (state == State.UNKNOWN || rejected) {
      state = loadedReplicas > 0 ? State.LOADED : State.ABSENT;
    }
  }

  /** A load command ended; its result counts unless the belief has changed meanwhile. */
  public void loadEnded(int loadedReplicas, boolean rejected, Duration now) {
    lastUsed = now;
    if (state == State.LOADING) {
      state = loadedReplicas > 0 ? State.LOADED : State.ABSENT;
    }
    loadPending = false; // whatever the state is by now: otherwise it would stay pending for ever
    loadRejectedAt = rejected ? now : null;
  }

  /** The worker reported that it does not have the replica; a load in flight may still bring it. */
  public void reportedAbsent() {
    state = state == State.LOADING ? State.LOADING : State.ABSENT;
  }

  /**
   * Gives up a replica that this router had loaded; returns false if it had not, or if the worker
   * is not ready.
   */
  public boolean unloadStarted(boolean workerReady) {
    boolean unloads = workerReady && loadCommandedAt != null;
    if (unloads) {
      loadCommandedAt = null;
      state = State.UNKNOWN;
    }
    return unloads;
  }

  /** An attempt is sent to it. */
  void used(Duration now) {
    lastUsed = now;
  }

  /** It served an attempt. */
  void served(Duration now) {
    state = State.LOADED;
    lastUsed = now;
  }

  /** It may have been unloaded as idle. */
  void expired() {
    state = State.UNKNOWN;
  }

  /** The worker's process is a new one, which has only the replicas it is commanded to load. */
  void workerRestarted() {
    reportedAbsent();
  }
}
