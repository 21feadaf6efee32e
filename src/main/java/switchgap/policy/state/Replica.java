package switchgap.policy.state;

import java.time.Duration;

/** The state of a function's replica at one worker, as this router presumes it. */
public final class Replica {
  /** The presumed state. */
  public enum State {
    /** The replica may be loaded or not. */
    UNKNOWN,
    /** The worker does not have the replica. */
    ABSENT,
    /** A command to load the replica is in flight. */
    LOADING,
    /** The worker has the replica. */
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

  /** The last presumed state; it may be outdated, see {@link PolicyState#replicaState}. */
  public State state() {
    return state;
  }

  /**
   * When a use, load, query or renewal of it was last recorded, which restarts its idle timeout.
   */
  public Duration lastUsed() {
    return lastUsed;
  }

  /**
   * When the last load was rejected because the worker is out of memory or draining; null if it was
   * not rejected.
   */
  public Duration loadRejectedAt() {
    return loadRejectedAt;
  }

  /** Whether a query for it, or a command to renew it, is in flight. */
  public boolean isQueryPending() {
    return queryPending;
  }

  /** Whether a command to load it is in flight, whatever its presumed state. */
  public boolean isLoadPending() {
    return loadPending;
  }

  /** Whether any command for it is in flight that reports its state when it ends. */
  boolean isCommandPending() {
    return queryPending || loadPending;
  }

  /** Records that a command to load it is sent. */
  public void loadStarted(Duration now) {
    state = State.LOADING;
    loadCommandedAt = now;
    loadPending = true;
  }

  /** Records that a query or a renewal is sent; the presumed state stays as it is until it ends. */
  public void queryStarted() {
    queryPending = true;
  }

  /**
   * Records the end of a query or renewal. If the state is no longer unknown, it may be more recent
   * than the result, which is then applied only if the worker rejected the command.
   */
  public void queryEnded(int loadedReplicas, boolean rejected, Duration now) {
    queryPending = false;
    lastUsed = now;
    if (state == State.UNKNOWN || rejected) {
      state = loadedReplicas > 0 ? State.LOADED : State.ABSENT;
    }
  }

  /**
   * Records the end of a load command. Its result is applied only if the replica is still presumed
   * to be loading.
   */
  public void loadEnded(int loadedReplicas, boolean rejected, Duration now) {
    lastUsed = now;
    if (state == State.LOADING) {
      state = loadedReplicas > 0 ? State.LOADED : State.ABSENT;
    }
    // Cleared in every state; otherwise the load would be considered pending indefinitely.
    loadPending = false;
    loadRejectedAt = rejected ? now : null;
  }

  /** Records that the worker does not have the replica, unless a load of it is in flight. */
  public void markAbsent() {
    state = state == State.LOADING ? State.LOADING : State.ABSENT;
  }

  /**
   * Records that a replica is to be unloaded; returns false, and changes nothing, if this router
   * did not command its load or the worker is not ready.
   */
  public boolean unloadStarted(boolean workerReady) {
    boolean mayUnload = workerReady && loadCommandedAt != null;
    if (mayUnload) {
      loadCommandedAt = null;
      state = State.UNKNOWN;
    }
    return mayUnload;
  }

  /** Records that an attempt is sent to it. */
  void markUsed(Duration now) {
    lastUsed = now;
  }

  /** Records that it served an attempt. */
  void served(Duration now) {
    state = State.LOADED;
    lastUsed = now;
  }

  /** Records that the worker may have unloaded it as idle. */
  void markExpired() {
    state = State.UNKNOWN;
  }

  /**
   * Records a restart of the worker; the new process has only replicas that it loads on command.
   */
  void workerRestarted() {
    markAbsent();
  }
}
