package switchgap.policy.api;

import java.time.Duration;

/**
 * Carries out the decisions of a policy, in the order of the calls. Implementations must not call
 * the policy from within these methods.
 */
public interface PolicyActions {
  /**
   * Starts an attempt that times out after {@code timeout}. The attempts of a request are numbered
   * from 0.
   */
  void startAttempt(int request, int worker, Duration timeout);

  /**
   * Sets the time after which no attempt or load command may be written to a worker, including
   * those that wait for a connection.
   *
   * @param until time since the router's start; null removes the limit
   */
  default void limitSends(int worker, Duration until) {}

  /**
   * Sets the time after which no attempt of a request may be written to a worker, including those
   * that wait for a connection. An attempt that is unwritten then ends as not sent.
   *
   * @param until time since the router's start; null removes the limit
   */
  default void limitAttempts(int request, Duration until) {}

  /** Cancels an attempt that is in flight. */
  void cancelAttempt(int request, int attempt);

  /**
   * Sends the final response that rejects a request, which the client may safely retry.
   *
   * @param retryAfter delay that the client should wait before it retries, or null for none
   */
  void reject(int request, Duration retryAfter);

  /** Sends the final response that a request failed and may have been executed. */
  void fail(int request);

  /**
   * Commands a worker to load one replica of a function, or to renew the one that it has loaded.
   */
  void load(int worker, int function);

  /** Queries how many replicas of a function a worker has loaded. */
  void queryReplicas(int worker, int function);

  /** Commands a worker to unload the idle replicas of a function. */
  void unload(int worker, int function);

  /** Sends a load probe to a worker. */
  void probe(int worker);

  /** Schedules a call of {@link PolicyEvents#wakeUp} with this token after a delay. */
  void scheduleWakeUp(Duration delay, long token);

  /** Requests the endpoint list, or subscribes to its changes. */
  void subscribeToEndpoints();

  /** Releases the index of a request; the caller may reuse it. */
  void releaseRequest(int request);

  /** Releases the index of a function; the caller may reuse it. */
  void releaseFunction(int function);

  /** Releases the index of a worker; the caller may reuse it. */
  void releaseWorker(int worker);
}
