package switchgap.endpoints;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import switchgap.net.TimerThread;

/**
 * The delays before a client reconnects to its service: either fixed, or immediate at first and
 * then growing exponentially with jitter. Not thread-safe: the client must hold its lock.
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

  /** Returns a backoff with the same delay each time. */
  static ReconnectBackoff fixed(Duration delay) {
    return new ReconnectBackoff(delay, Duration.ZERO, 0);
  }

  /**
   * Returns a backoff without a delay at first, and then with random delays between half of an
   * upper bound and the bound. The bound doubles with each failure. The jitter spreads the
   * reconnects of the many routers that lose a service at the same time.
   *
   * @param initialBackoff the upper bound of the second delay
   * @param maxDoublings how often the bound doubles
   */
  static ReconnectBackoff exponential(Duration initialBackoff, int maxDoublings) {
    return new ReconnectBackoff(Duration.ZERO, initialBackoff, maxDoublings);
  }

  /** Restarts the sequence of delays, after the service was found to be healthy. */
  void reset() {
    failures = 0;
  }

  /** Whether a failure has occurred since the last reset. */
  boolean hasFailed() {
    return failures > 0;
  }

  /** Records a failure and returns the delay before the next reconnect. */
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

  /** Runs a task on the timer thread after a delay, which is rounded down to whole milliseconds. */
  static void schedule(Runnable reconnect, Duration delay) {
    TimerThread.EXECUTOR.schedule(reconnect, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
