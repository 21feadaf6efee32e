package switchgap.admission;

import java.time.Duration;

/**
 * The retry delay given to rejected clients: longer the lower the level, and spread at random so
 * that clients rejected together do not retry together.
 */
final class RetryAfterPolicy {
  /** Fraction of the longest delay, for a tenant over its quota. */
  private static final double TENANT_FRACTION = 0.5;

  /**
   * The same, for the other levels: the base, and what each level below the first adds, up to the
   * third.
   */
  private static final double BASE_FRACTION = 0.4;

  private static final double FRACTION_PER_LEVEL = 0.2;
  private static final int MAX_LEVEL_STEPS = 3;

  /** Range of the factor drawn for each rejection. */
  private static final double MIN_SPREAD = 0.6;

  private static final double SPREAD_RANGE = 0.8;

  private final Duration max;

  /** {@code max} is null where clients are given no delay. */
  RetryAfterPolicy(Duration max) {
    this.max = max;
  }

  /** The delay for a rejection by {@code level}, null for none; {@code draw} is 0 to 1. */
  Duration retryAfter(ServiceLevel level, double draw) {
    if (max == null) {
      return null;
    }
    double fraction =
        level == ServiceLevel.SHARE
            ? TENANT_FRACTION
            : BASE_FRACTION + FRACTION_PER_LEVEL * Math.min(MAX_LEVEL_STEPS, level.ordinal() - 1);
    return Duration.ofNanos(
        (long) (max.toNanos() * Math.min(1, fraction * (MIN_SPREAD + SPREAD_RANGE * draw))));
  }
}
