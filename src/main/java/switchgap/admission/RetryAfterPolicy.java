package switchgap.admission;

import java.time.Duration;

/**
 * Computes the retry delay for rejected clients: longer for lower levels, and randomized so that
 * clients rejected simultaneously do not retry simultaneously.
 */
final class RetryAfterPolicy {
  /** Fraction of the maximum delay for tenants over their quota. */
  private static final double TENANT_FRACTION = 0.5;

  /**
   * Fraction of the maximum delay for the levels below SHARE, before {@link #FRACTION_PER_LEVEL} is
   * added.
   */
  private static final double BASE_FRACTION = 0.4;

  /** Fraction added per level below SHARE, for at most {@link #MAX_LEVEL_STEPS} levels. */
  private static final double FRACTION_PER_LEVEL = 0.2;

  private static final int MAX_LEVEL_STEPS = 3;

  /** Smallest random factor on the delay; drawn for each rejection. */
  private static final double MIN_SPREAD_FACTOR = 0.6;

  /** Width of the range of the random factor. */
  private static final double SPREAD_RANGE = 0.8;

  private final Duration maxDelay;

  /** Creates a policy; {@code maxDelay} is null if no delay is sent to clients. */
  RetryAfterPolicy(Duration maxDelay) {
    this.maxDelay = maxDelay;
  }

  /**
   * The delay for a rejection by {@code level}, or null for none; {@code draw} is a random number,
   * 0 to 1.
   */
  Duration retryAfter(ServiceLevel level, double draw) {
    if (maxDelay == null) {
      return null;
    }
    double fraction =
        level == ServiceLevel.SHARE
            ? TENANT_FRACTION
            : BASE_FRACTION + FRACTION_PER_LEVEL * Math.min(MAX_LEVEL_STEPS, level.ordinal() - 1);
    return Duration.ofNanos(
        (long)
            (maxDelay.toNanos()
                * Math.min(1, fraction * (MIN_SPREAD_FACTOR + SPREAD_RANGE * draw))));
  }
}
