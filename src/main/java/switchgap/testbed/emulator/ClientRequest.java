package switchgap.testbed.emulator;

import java.util.SplittableRandom;

/** A client's request through all its attempts. Belongs to the scheduler's thread. */
final class ClientRequest {
  final String id;
  final FunctionModel function;
  final String tenant;
  final int router;
  final long arrivedAt;
  final RequestClassProfile profile;

  /** Retries without backoff in a retry storm; 0 for a client that follows the retry policy. */
  final int stormRetries;

  /**
   * A generator of its own, so that how responses come affects no other request: the same seed
   * brings the same arrivals whatever becomes of them.
   */
  final SplittableRandom random;

  private int attempts;

  ClientRequest(
      Arrival arrival, RequestClassProfile profile, int stormRetries, SplittableRandom random) {
    this.id = arrival.id;
    this.function = arrival.function;
    this.tenant = arrival.tenant;
    this.router = arrival.router;
    this.arrivedAt = arrival.arrivedAt;
    this.profile = profile;
    this.stormRetries = stormRetries;
    this.random = random;
  }

  /** What is drawn when a request arrives; {@code arrivedAt} in microseconds. */
  record Arrival(String id, FunctionModel function, String tenant, int router, long arrivedAt) {}

  /** Attempts made so far, the present one included. */
  int attempts() {
    return attempts;
  }

  void attemptStarted() {
    attempts++;
  }

  boolean isRetryStorm() {
    return stormRetries > 0;
  }
}
