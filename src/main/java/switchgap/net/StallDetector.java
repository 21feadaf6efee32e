package switchgap.net;

import java.time.Duration;

/**
 * Detects stalls of the whole process (no CPU time, SIGSTOP, a stop-the-world garbage collection)
 * by the delay of a check that runs at a fixed interval. Silence and idle timers exclude stalls
 * from the measured time, because a stalled process cannot receive anything from its peers.
 *
 * <p>Not thread-safe: used only on the thread that runs its checks.
 */
public final class StallDetector {
  /**
   * A check that is delayed by more than this indicates a stall; a shorter delay is scheduling
   * jitter.
   */
  public static final Duration THRESHOLD = Duration.ofMillis(100);

  private final Duration interval;
  private Duration lastCheck;

  /**
   * Creates a detector for checks at a fixed interval.
   *
   * @param interval time from one check to the next
   * @param now monotonic time; the first check is due one interval later
   */
  public StallDetector(Duration interval, Duration now) {
    this.interval = interval;
    this.lastCheck = now;
  }

  /**
   * Records a check. Must be called at each check.
   *
   * @param now monotonic time
   * @return the time for which the process was stalled since the previous check, or zero if it was
   *     not
   */
  public Duration recordCheck(Duration now) {
    Duration lateness = now.minus(lastCheck).minus(interval);
    lastCheck = now;
    return lateness.compareTo(THRESHOLD) > 0 ? lateness : Duration.ZERO;
  }
}
