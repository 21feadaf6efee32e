package switchgap.testbed.emulator;

import java.util.SplittableRandom;

/** A client's request with all its attempts. Accessed only on the scheduler's thread. */
final class ClientRequest {
  final String id;
  final FunctionModel function;
  final String tenant;
  final int router;
  final long arrivedAt;
  final RequestClassProfile profile;

  /** Maximum retries, without backoff, in a retry storm; 0 if the client follows the policy. */
  final int maxStormRetries;

  /**
   * A random generator for this request alone. The draws for one request depend on its responses;
   * with a shared generator they would also change later requests, and the same seed would no
   * longer produce the same arrivals.
   */
  final SplittableRandom random;

  private int attempts;

  ClientRequest(
      Arrival arrival, RequestClassProfile profile, int maxStormRetries, SplittableRandom random) {
    this.id = arrival.id;
    this.function = arrival.function;
    this.tenant = arrival.tenant;
    this.router = arrival.router;
    this.arrivedAt = arrival.arrivedAt;
    this.profile = profile;
    this.maxStormRetries = maxStormRetries;
    this.random = random;
  }

  /** The properties drawn when a request arrives; {@code arrivedAt} in microseconds. */
  record Arrival(String id, FunctionModel function, String tenant, int router, long arrivedAt) {}

  /** Number of attempts started, including the current one. */
  int attempts() {
    return attempts;
  }

  void attemptStarted() {
    attempts++;
  }

  boolean isRetryStorm() {
    return maxStormRetries > 0;
  }
}
