package switchgap.policy.state;

import java.time.Duration;

/** What this router believes of a function's replica at one worker. */
public final class Replica {
  /** What is believed. */
  public enum State {
    /** Nothing was heard of it lately. */
    UNKNOWN,
    /** The worker does not have it. */
    ABSENT,
    /** A command to load it is out. */
    LOADING,
    /** The worker has it. */
    LOADED
  }

  public State state = State.UNKNOWN;

  /** When it was last known to serve or to be kept. */
  public Duration lastUsed;

  /** When this router had it loaded, null where it did not. */
  public Duration loadCommandedAt;

  /** When a load ended without it, as the worker has no memory or drains; else null. */
  public Duration loadRefusedAt;

  /** Whether a query for it, or a command to keep it, is out. */
  public boolean queryPending;

  /** Whether a command to load it is out, whatever is believed meanwhile. */
  public boolean loadPending;

  /** A command to load it goes out. */
  public void loadStarted(Duration now) {
    state = State.LOADING;
    loadCommandedAt = now;
    loadPending = true;
  }

  /**
   * Gives up a replica that this router had loaded; false where it did not, or its worker takes
   * nothing.
   */
  public boolean unloadStarted(boolean workerReady) {
    boolean unloads = workerReady && loadCommandedAt != null;
    if (unloads) {
      loadCommandedAt = null;
      state = State.UNKNOWN;
    }
    return unloads;
  }

  /** Its worker's process is a new one, which has only what it is told to load. */
  void workerRestarted() {
    state = state == State.LOADING ? State.LOADING : State.ABSENT;
  }
}
