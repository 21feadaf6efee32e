package switchgap.policy.state;

import java.time.Duration;

/** Arithmetic on durations. */
public final class Durations {
  /** One second. */
  public static final Duration SECOND = Duration.ofSeconds(1);

  private static final double NANOS_PER_SECOND = 1e9;

  private Durations() {}

  /** Whether the first duration is shorter than the second. */
  public static boolean isShorter(Duration first, Duration second) {
    return first.compareTo(second) < 0;
  }

  /** The shorter of two durations. */
  public static Duration min(Duration first, Duration second) {
    return isShorter(first, second) ? first : second;
  }

  /** The longer of two durations. */
  public static Duration max(Duration first, Duration second) {
    return isShorter(first, second) ? second : first;
  }

  /** Converts a duration to seconds. */
  public static double toSeconds(Duration duration) {
    return duration.toNanos() / NANOS_PER_SECOND;
  }

  /** Multiplies a duration by a factor and truncates the product to whole nanoseconds. */
  public static Duration scale(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }
}
