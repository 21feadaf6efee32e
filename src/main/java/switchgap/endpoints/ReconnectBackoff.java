package switchgap.endpoints;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import switchgap.net.TimerThread;

/**
 * The delays before a client reconnects to its service: either fixed, or none at first and then
 * growing exponentially with jitter. Not thread-safe: the client calls it under its lock.
 */
final class ReconnectBackoff {
  private final Duration firstDelay;
  private final Duration initialBackoff;
  private final int maxDoublings;

  /** The number of delays since the last reset. */
  private int failures;

  private ReconnectBackoff(Duration firstDelay, Duration initialBackoff, int maxDoublings) {
    this.firstDelay = firstDelay;
    this.initialBackoff = initialBackoff;
    this.maxDoublings = maxDoublings;
  }

  /** The same delay each time. */
  static ReconnectBackoff fixed(Duration delay) {
    return new ReconnectBackoff(delay, Duration.ZERO, 0);
  }

  /**
   * No delay at first, then a random delay between half of a bound and all of it. The bound doubles
   * with each failure. The jitter spreads the many routers that lose a service at one moment.
   *
   * @param initialBackoff the bound of the second delay
   * @param maxDoublings how often the bound doubles
   */
  static ReconnectBackoff exponential(Duration initialBackoff, int maxDoublings) {
    return new ReconnectBackoff(Duration.ZERO, initialBackoff, maxDoublings);
  }

  /** The service is healthy: the next delay is the first one again. */
  void reset() {
    failures = 0;
  }

  /** Whether a delay has begun since the last reset. */
  boolean hasFailed() {
    return failures > 0;
  }

  /** Returns the delay after a further failure. */
  Duration nextDelay() {
    Duration delay = failures == 0 || initialBackoff.isZero() ? firstDelay : jitteredBackoff();
    failures++;
    return delay;
  }

  private Duration jitteredBackoff() {
    int doublings = Math.min(failures - 1, maxDoublings);
    long halfNanos = initialBackoff.multipliedBy(1L << doublings).toNanos() / 2;
    return Duration.ofNanos(halfNanos + ThreadLocalRandom.current().nextLong(halfNanos));
  }

  /** Runs a task on the timer thread after a delay, in whole milliseconds. */
  static void schedule(Runnable reconnect, Duration delay) {
    TimerThread.EXECUTOR.schedule(reconnect, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
