package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;

/**
 * Exchanges requests and commands with workers. Called on the event loop thread. No method reports
 * a result before it returns; results arrive as events of a later tick.
 */
public interface WorkerTransport {
  /**
   * Sends an attempt, but not after its request's {@linkplain PendingRequest#attemptLimit limit}.
   * Its end is reported to {@link RouterCore#attemptEnded}.
   */
  void startAttempt(Attempt attempt, Duration timeout);

  /**
   * Ends an attempt's exchange if no byte of the attempt was sent, so that none will be; returns
   * whether it did. An exchange of which bytes were sent continues. Without an implementation
   * attempts are sent at once.
   */
  default boolean withdraw(Attempt attempt) {
    return false;
  }

  /**
   * Ends an attempt's exchange; a late response is discarded. Returns NOT_SENT or CONNECT_FAILED if
   * no byte of the attempt was or will be sent, otherwise TIMED_OUT.
   */
  AttemptOutcome abandon(Attempt attempt);

  /**
   * Commands a worker to load a number of replicas of a function, or queries with 0 replicas how
   * many are loaded. The end is reported to {@link RouterCore#loadCommandEnded}.
   */
  void requestReplicas(WorkerEntry worker, String function, int replicas, WorkerCommand command);

  /**
   * Commands a worker to unload idle replicas of a function. The end is reported to {@link
   * RouterCore#unloadEnded}.
   */
  void unload(WorkerEntry worker, String function, WorkerCommand command);

  /** Sends a load probe to a worker. The end is reported to {@link RouterCore#probeEnded}. */
  void probe(WorkerEntry worker, WorkerCommand command);

  /** Ends a command's exchange; a late response is discarded. */
  void abandon(WorkerCommand command);

  /**
   * Stops sending new attempts and commands to a worker. Those that wait for a connection to it end
   * immediately as NOT_SENT, not at their timeouts. {@code permanently} is true if the worker was
   * removed or its address changed.
   */
  default void stopAccepting(WorkerEntry worker, boolean permanently) {}

  /** Requests the endpoint list, or subscribes to its changes. */
  void requestEndpointList();
}
