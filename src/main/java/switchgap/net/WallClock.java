package switchgap.net;

import java.time.Instant;

/**
 * The wall clock, which operators and time services step forward and back: for the times of log
 * lines and for absolute times in messages of others. Spans are measured by {@link
 * System#nanoTime}; a rule in the tests keeps all reads of the wall clock to this class.
 */
public final class WallClock {
  private WallClock() {}

  /** Milliseconds of Unix time, as the machine has it just now. */
  public static long unixMillis() {
    return System.currentTimeMillis();
  }

  /** The time for a log line. */
  public static Instant now() {
    return Instant.now();
  }
}
