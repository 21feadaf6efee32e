package switchgap.net;

import java.time.Instant;

/**
 * The wall clock, which operators and time services may step forward or back. It is used for
 * timestamps in log lines and for absolute times in messages from other systems. Durations are
 * measured by {@link System#nanoTime}. A test checks that no other class reads the wall clock.
 */
public final class WallClock {
  private WallClock() {}

  /** The machine's current time, in milliseconds of Unix time. */
  public static long unixMillis() {
    return System.currentTimeMillis();
  }

  /** The current time, for timestamps of log lines. */
  public static Instant now() {
    return Instant.now();
  }
}
