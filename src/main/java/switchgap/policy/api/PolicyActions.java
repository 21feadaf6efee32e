package switchgap.policy.api;

import java.time.Duration;

/** What a policy decides, carried out in the order of the calls. None of them calls back. */
public interface PolicyActions {
  /**
   * Starts an attempt, given up after {@code timeout}; attempts are numbered from 0 for each
   * request.
   */
  void startAttempt(int request, int worker, Duration timeout);

  /** Cancels an attempt that is in flight. */
  void cancelAttempt(int request, int attempt);

  /** Final response: a retry is harmless; {@code retryAfter} is null for no advice. */
  void reject(int request, Duration retryAfter);

  /** Final response: no promise about the request's effect. */
  void fail(int request);

  /** Commands a worker to load one replica of a function, or to keep the one it has. */
  void load(int worker, int function);

  /** Asks a worker how many replicas of a function it has loaded. */
  void queryReplicas(int worker, int function);

  /** Has the idle replicas of a function unloaded. */
  void unload(int worker, int function);

  /** Asks a worker for its load. */
  void probe(int worker);

  /** Asks for {@link PolicyEvents#wakeUp} with this token after a delay. */
  void scheduleWakeUp(Duration delay, long token);

  /** Asks for the endpoint list, or for its changes from now on. */
  void subscribeToEndpoints();

  /** Nothing refers to this request's index any more. */
  void releaseRequest(int request);

  /** Nothing refers to this function's index any more. */
  void releaseFunction(int function);

  /** Nothing refers to this worker's index any more. */
  void releaseWorker(int worker);
}
