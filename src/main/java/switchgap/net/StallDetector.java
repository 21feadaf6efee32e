package switchgap.net;

import java.time.Duration;

/**
 * Detects stalls of the whole process (no CPU time, SIGSTOP, a stop-the-world collection) by the
 * lateness of a check that runs at a fixed interval. Silence and idle timers exclude stalls from
 * what they measure: while the process is stalled nothing can be received from any peer.
 *
 * <p>Not thread-safe: a detector belongs to the thread that runs its checks.
 */
public final class StallDetector {
  /** A check that is late by more than this counts as a stall; by less, as scheduling jitter. */
  public static final Duration THRESHOLD = Duration.ofMillis(100);

  private final Duration interval;
  private Duration lastCheck;

  /**
   * A detector for checks at a fixed interval.
   *
   * @param interval time from one check to the next
   * @param now monotonic time; the first check is due one interval later
   */
  public StallDetector(Duration interval, Duration now) {
    this.interval = interval;
    this.lastCheck = now;
  }

  /**
   * Records that a check runs. To be called at each check.
   *
   * @param now monotonic time
   * @return how long the process was stalled since the check before, or zero if it was not
   */
  public Duration recordCheck(Duration now) {
    Duration lateness = now.minus(lastCheck).minus(interval);
    lastCheck = now;
    return lateness.compareTo(THRESHOLD) > 0 ? lateness : Duration.ZERO;
  }
}
