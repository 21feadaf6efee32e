package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;

/**
 * What the core asks of the network. Called on the event loop; none of these methods calls back
 * before it returns: what follows comes as an event.
 */
public interface WorkerTransport {
  /** Starts an attempt; its end is told by {@link RouterCore#attemptEnded}. */
  void startAttempt(Attempt attempt, Duration timeout);

  /**
   * Ends an attempt's exchange: a late response must reach nobody. Tells what that proves: NOT_SENT
   * or CONNECT_FAILED where no byte of it went out and none will, else TIMED_OUT.
   */
  AttemptOutcome abandon(Attempt attempt);

  /**
   * Commands a worker to load so many replicas of a function, or with 0 asks how many are loaded;
   * the end is told by {@link RouterCore#loadCommandEnded}.
   */
  void requestReplicas(WorkerEntry worker, String function, int replicas, WorkerCommand command);

  /**
   * Has idle replicas of a function unloaded; the end is told by {@link RouterCore#unloadEnded}.
   */
  void unload(WorkerEntry worker, String function, WorkerCommand command);

  /** Asks a worker for its load; the end is told by {@link RouterCore#probeEnded}. */
  void probe(WorkerEntry worker, WorkerCommand command);

  /** Ends a command's exchange. */
  void abandon(WorkerCommand command);

  /**
   * A worker takes nothing new; for good where it is forgotten or has another address. What waits
   * for a connection to it is told so at once, not at its timeout.
   */
  default void stopAccepting(WorkerEntry worker, boolean forGood) {}

  /** Asks for the endpoint list, or for its changes from now on. */
  void requestEndpointList();
}
