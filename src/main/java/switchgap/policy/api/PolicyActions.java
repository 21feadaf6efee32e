package switchgap.policy.api;

import java.time.Duration;

/** The decisions of a policy, carried out in the order of the calls. None of them calls back. */
public interface PolicyActions {
  /**
   * Starts an attempt that times out after {@code timeout}; attempts are numbered from 0 for each
   * request.
   */
  void startAttempt(int request, int worker, Duration timeout);

  /**
   * Limits attempts and load commands to a worker, those that wait for a connection included: none
   * is written after {@code until}; null for no limit.
   */
  default void limitSends(int worker, Duration until) {}

  /** Cancels an attempt that is in flight. */
  void cancelAttempt(int request, int attempt);

  /**
   * Sends the final response that the client may retry; {@code retryAfter} is null for no advice
   * when.
   */
  void reject(int request, Duration retryAfter);

  /** Sends the final response that the request failed and may have been executed. */
  void fail(int request);

  /** Commands a worker to load one replica of a function, or to renew the one it has. */
  void load(int worker, int function);

  /** Queries how many replicas of a function a worker has loaded. */
  void queryReplicas(int worker, int function);

  /** Commands a worker to unload the idle replicas of a function. */
  void unload(int worker, int function);

  /** Sends a load probe to a worker. */
  void probe(int worker);

  /** Schedules {@link PolicyEvents#wakeUp} with this token after a delay. */
  void scheduleWakeUp(Duration delay, long token);

  /** Requests the endpoint list, or subscribes to its changes. */
  void subscribeToEndpoints();

  /** Releases the index of a request, which the caller may reuse. */
  void releaseRequest(int request);

  /** Releases the index of a function, which the caller may reuse. */
  void releaseFunction(int function);

  /** Releases the index of a worker, which the caller may reuse. */
  void releaseWorker(int worker);
}
