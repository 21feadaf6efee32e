package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;

/**
 * Exchanges with workers. Called on the event loop; no method calls back before it returns: results
 * arrive as events of a later tick.
 */
public interface WorkerTransport {
  /** Sends an attempt; its end is reported to {@link RouterCore#attemptEnded}. */
  void startAttempt(Attempt attempt, Duration timeout);

  /**
   * Ends an attempt's exchange: a late response is discarded. Returns what that proves: NOT_SENT or
   * CONNECT_FAILED where no byte of it was or will be sent, else TIMED_OUT.
   */
  AttemptOutcome abandon(Attempt attempt);

  /**
   * Commands a worker to load so many replicas of a function, or with 0 asks how many are loaded;
   * the end is reported to {@link RouterCore#loadCommandEnded}.
   */
  void requestReplicas(WorkerEntry worker, String function, int replicas, WorkerCommand command);

  /**
   * Has idle replicas of a function unloaded; the end is reported to {@link
   * RouterCore#unloadEnded}.
   */
  void unload(WorkerEntry worker, String function, WorkerCommand command);

  /** Asks a worker for its load; the end is reported to {@link RouterCore#probeEnded}. */
  void probe(WorkerEntry worker, WorkerCommand command);

  /** Ends a command's exchange: a late response is discarded. */
  void abandon(WorkerCommand command);

  /**
   * A worker accepts nothing new; {@code forGood} where it is forgotten or has another address.
   * What waits for a connection to it ends at once, as NOT_SENT, not at its timeout.
   */
  default void stopAccepting(WorkerEntry worker, boolean forGood) {}

  /** Requests the endpoint list, or its changes from now on. */
  void requestEndpointList();
}
