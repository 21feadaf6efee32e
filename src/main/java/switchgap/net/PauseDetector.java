package switchgap.net;

import java.time.Duration;

/**
 * Tells that the process was held up (no processor, SIGSTOP, a collection) from the lateness of a
 * check that runs at an interval. Whoever measures how long others are silent takes such a time
 * out, as nobody was heard in it. Not thread-safe.
 */
public final class PauseDetector {
  /** A check that is late by more was held up; by less it is only scheduled late. */
  public static final Duration THRESHOLD = Duration.ofMillis(100);

  private final Duration interval;
  private Duration lastCheck;

  /** A detector for checks at this interval, of which the first comes an interval from now. */
  public PauseDetector(Duration interval, Duration now) {
    this.interval = interval;
    this.lastCheck = now;
  }

  /**
   * To be called at each check.
   *
   * @param now time of a monotonic clock
   * @return how long the process was held up since the last check; zero where it was not
   */
  public Duration heldUp(Duration now) {
    Duration late = now.minus(lastCheck).minus(interval);
    lastCheck = now;
    return late.compareTo(THRESHOLD) > 0 ? late : Duration.ZERO;
  }
}
