package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Steps through a list of service levels and controls the shed fraction of the current level: the
 * fraction that is rejected of the requests that the level may reject. The shed fraction follows
 * the pressure at a bounded rate, so that service is reduced and restored gradually. The level
 * changes only after the shed fraction has stayed at 0 or 1 for some time.
 */
final class DegradationController {
  /** Maximum change of the shed fraction per second. Prevents a jump because of a single burst. */
  private static final double MAX_SHED_RATE_PER_SECOND = 0.1;

  /**
   * Ratio of the maximum rates at which service is reduced and restored. Restoring more slowly
   * avoids running into the same overload again.
   */
  private static final double RESTORE_SLOWDOWN = 1.5;

  /**
   * Multiple of the minimum stay for which a level stays in effect before the level above is
   * restored, and for which full service, once restored, stays in effect under mild pressure.
   * Prevents oscillation with each wave of load.
   */
  private static final int LONG_STAY_FACTOR = 4;

  /**
   * Duration of pressure before service is reduced from FULL, as a multiple of the minimum stay and
   * the jitter factor. Short, because this step is cheap and reversible.
   */
  private static final double FIRST_DEGRADE_WAIT_FACTOR = 0.35;

  /**
   * Duration without pressure before the level above is restored, as a multiple of the minimum stay
   * and the jitter factor. Prevents restoring in a short lull.
   */
  private static final double RESTORE_WAIT_FACTOR = 0.5;

  /**
   * Smallest jitter factor on wait times. The jitter prevents routers from changing levels
   * simultaneously.
   */
  private static final double MIN_JITTER = 0.5;

  /** Width of the range of the jitter factor. */
  private static final double JITTER_RANGE = 2;

  private final ServiceLevel[] levels;
  private final Duration minStay;
  private final SplittableRandom random;

  /** Drawn again at each change of level. */
  private double jitter;

  private int index;
  private double shedFraction;
  private Duration changedAt = Duration.ZERO;

  /**
   * Whether a level has been restored. If so, mild pressure reduces full service only after {@link
   * #LONG_STAY_FACTOR} minimum stays.
   */
  private boolean wasRestored;

  /** The time since which a change of level has been required; null if none is required. */
  private Duration changeRequiredSince;

  private ServiceLevel pinned;
  private Duration pinnedUntil;

  /**
   * Creates a controller at the first of {@code levels}, which must be FULL. Each level stays in
   * effect for at least {@code minStay}.
   */
  DegradationController(Duration minStay, SplittableRandom random, ServiceLevel... levels) {
    this.levels = levels;
    this.minStay = minStay;
    this.random = random;
    this.jitter = drawJitter();
  }

  /** The pinned level if there is one, otherwise the level required by the pressure. */
  ServiceLevel level() {
    return pinned != null ? pinned : levels[index];
  }

  /**
   * The fraction that is rejected of the requests that the level may reject; 1 for a pinned level.
   */
  double shedFraction() {
    return pinned != null ? 1 : shedFraction;
  }

  boolean isPinned() {
    return pinned != null;
  }

  /**
   * Pins a level until a time. While it is pinned, the controller continues to follow the pressure.
   */
  LevelTransition pin(ServiceLevel level, Duration until) {
    ServiceLevel previous = level();
    pinned = level;
    pinnedUntil = until;
    return new LevelTransition(previous, level, ChangeCondition.PINNED);
  }

  /**
   * Ends a pin that has expired and returns the transition to the controller's level; null if no
   * pin expired.
   */
  LevelTransition expirePin(Duration now) {
    if (pinned == null || now.compareTo(pinnedUntil) < 0) {
      return null;
    }
    ServiceLevel previous = pinned;
    pinned = null;
    changedAt = now;
    changeRequiredSince = null;
    return new LevelTransition(previous, level(), ChangeCondition.PIN_EXPIRED);
  }

  /**
   * Applies a control signal for a number of seconds. Does not enter a level below {@code
   * lowestLevel}. Returns the change of level, or null if there is none.
   */
  LevelTransition update(
      Duration now, double seconds, ControlSignal signal, ServiceLevel lowestLevel) {
    double rate = boundedRate(signal);
    if (index == 0) {
      boolean mayDegrade = signal.isSevere() || !wasRestored || hasStayedLong(now);
      return degrade(now, rate > 0 && mayDegrade, lowestLevel, ChangeCondition.PRESSURE_HIGH);
    }
    shedFraction = Math.max(0, Math.min(1, shedFraction + rate * seconds));
    if (shedFraction >= 1 && rate > 0) {
      return degrade(now, true, lowestLevel, ChangeCondition.LEVEL_EXHAUSTED);
    }
    if (shedFraction <= 0 && rate <= 0) {
      return restore(now);
    }
    changeRequiredSince = null;
    return null;
  }

  private static double boundedRate(ControlSignal signal) {
    double rate =
        Math.max(
            -MAX_SHED_RATE_PER_SECOND / RESTORE_SLOWDOWN,
            Math.min(MAX_SHED_RATE_PER_SECOND, signal.shedRate()));
    return rate > 0 && !signal.hasEnoughSamples() ? 0 : rate;
  }

  private LevelTransition degrade(
      Duration now, boolean isRequired, ServiceLevel lowestLevel, ChangeCondition condition) {
    if (!isRequired || index + 1 >= levels.length || levels[index + 1].compareTo(lowestLevel) > 0) {
      changeRequiredSince = null;
      return null;
    }
    if (changeRequiredSince == null) {
      changeRequiredSince = now;
    }
    Duration wait = index == 0 ? jittered(FIRST_DEGRADE_WAIT_FACTOR) : minStay;
    boolean hasWaited = now.minus(changeRequiredSince).compareTo(wait) >= 0;
    boolean hasStayed = index == 0 || now.minus(changedAt).compareTo(minStay) >= 0;
    return hasWaited && hasStayed ? change(now, index + 1, 0, condition) : null;
  }

  /**
   * Restores the level above after a wait, during which the current level has a shed fraction of 0
   * and rejects nothing.
   */
  private LevelTransition restore(Duration now) {
    if (changeRequiredSince == null) {
      changeRequiredSince = now;
    }
    boolean hasWaited =
        now.minus(changeRequiredSince).compareTo(jittered(RESTORE_WAIT_FACTOR)) >= 0;
    if (!hasWaited || !hasStayedLong(now)) {
      return null;
    }
    wasRestored = true;
    // The level above resumes with the shed fraction it had when this level was entered, and is
    // restored next.
    double fraction = index - 1 == 0 ? 0 : 1;
    return change(now, index - 1, fraction, ChangeCondition.PRESSURE_LOW);
  }

  private LevelTransition change(
      Duration now, int toIndex, double fraction, ChangeCondition condition) {
    ServiceLevel previous = level();
    index = toIndex;
    shedFraction = fraction;
    jitter = drawJitter();
    changedAt = now;
    changeRequiredSince = null;
    return new LevelTransition(previous, level(), condition);
  }

  private boolean hasStayedLong(Duration now) {
    return now.minus(changedAt).compareTo(minStay.multipliedBy(LONG_STAY_FACTOR)) >= 0;
  }

  private Duration jittered(double minStayFactor) {
    return Duration.ofNanos((long) (minStay.toNanos() * minStayFactor * jitter));
  }

  private double drawJitter() {
    return MIN_JITTER + JITTER_RANGE * random.nextDouble();
  }
}
