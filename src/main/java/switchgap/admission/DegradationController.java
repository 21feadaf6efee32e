package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Steps through a list of service levels, and sets the shed fraction of the current one: the
 * fraction that is rejected of what the level may reject. The shed fraction follows the pressure at
 * a bounded rate, so that service is reduced and restored in a ramp. A level is left only when the
 * shed fraction has reached 0 or 1 and has stayed there.
 */
final class DegradationController {
  /** Largest change of the shed fraction a second: guards against a jump on one burst. */
  private static final double MAX_SHED_RATE = 0.1;

  /**
   * How much slower service is restored than reduced: guards against restoring into the same
   * overload.
   */
  private static final double RESTORE_SLOWDOWN = 1.5;

  /**
   * Shortest stays on a level before it is restored, and after that before mild pressure takes it
   * again: guards against a level that oscillates with each wave of load.
   */
  private static final int STAYS_PER_LEVEL = 4;

  /**
   * Shortest stays (times the jitter) of pressure before service is first reduced, which is
   * reversible and cheap.
   */
  private static final double FIRST_DEGRADE_STAYS = 0.35;

  /**
   * Shortest stays (times the jitter) without pressure before a level is restored: guards against a
   * short lull.
   */
  private static final double RESTORE_STAYS = 0.5;

  /** Range of the jitter factor on waits: guards against many routers that change in step. */
  private static final double MIN_JITTER = 0.5;

  private static final double JITTER_RANGE = 2;

  private final ServiceLevel[] levels;
  private final Duration minStay;
  private final SplittableRandom random;
  private double jitter; // drawn anew at each change
  private int index;
  private double shedFraction;
  private Duration changedAt = Duration.ZERO;

  /** Once true, full service is reduced again only after STAYS_PER_LEVEL. */
  private boolean restoredBefore;

  /** Since when the shed fraction has required another level; null while it does not. */
  private Duration atBoundSince;

  private ServiceLevel pinned;
  private Duration pinnedUntil;

  /**
   * Steps through {@code levels}, which begin with FULL, and stays on each for {@code minStay} at
   * least.
   */
  DegradationController(Duration minStay, SplittableRandom random, ServiceLevel... levels) {
    this.levels = levels;
    this.minStay = minStay;
    this.random = random;
    this.jitter = drawJitter();
  }

  /** The pinned level, else the one that the pressure requires. */
  ServiceLevel level() {
    return pinned != null ? pinned : levels[index];
  }

  /** Fraction rejected of what the level may reject; a pinned level rejects all of it. */
  double shedFraction() {
    return pinned != null ? 1 : shedFraction;
  }

  /** Whether a pinned level is in force. */
  boolean isPinned() {
    return pinned != null;
  }

  /** Pins a level until a time. The controller continues to follow the pressure under the pin. */
  LevelTransition pin(ServiceLevel level, Duration until) {
    ServiceLevel previous = level();
    pinned = level;
    pinnedUntil = until;
    return new LevelTransition(previous, level, ChangeCondition.PINNED);
  }

  /** Ends a pin whose time is over, and returns the transition back; null where none ends. */
  LevelTransition expirePin(Duration now) {
    if (pinned == null || now.compareTo(pinnedUntil) < 0) {
      return null;
    }
    ServiceLevel previous = pinned;
    pinned = null;
    changedAt = now;
    atBoundSince = null;
    return new LevelTransition(previous, level(), ChangeCondition.PIN_EXPIRED);
  }

  /**
   * Applies a control signal for the given seconds. Never goes below {@code lowestLevel} by itself.
   * Returns the change of level, or null.
   */
  LevelTransition update(
      Duration now, double seconds, ControlSignal signal, ServiceLevel lowestLevel) {
    double rate = boundedRate(signal);
    if (index == 0) {
      boolean mayDegrade = signal.severe() || !restoredBefore || stayedLong(now);
      return degrade(now, rate > 0 && mayDegrade, lowestLevel, ChangeCondition.PRESSURE_HIGH);
    }
    shedFraction = Math.max(0, Math.min(1, shedFraction + rate * seconds));
    if (shedFraction >= 1 && rate > 0) {
      return degrade(now, true, lowestLevel, ChangeCondition.LEVEL_EXHAUSTED);
    }
    if (shedFraction <= 0 && rate <= 0) {
      return restore(now);
    }
    atBoundSince = null;
    return null;
  }

  private static double boundedRate(ControlSignal signal) {
    double rate =
        Math.max(-MAX_SHED_RATE / RESTORE_SLOWDOWN, Math.min(MAX_SHED_RATE, signal.shedRate()));
    return rate > 0 && !signal.enoughSamples() ? 0 : rate;
  }

  private LevelTransition degrade(
      Duration now, boolean wanted, ServiceLevel lowestLevel, ChangeCondition condition) {
    if (!wanted || index + 1 >= levels.length || levels[index + 1].compareTo(lowestLevel) > 0) {
      atBoundSince = null;
      return null;
    }
    if (atBoundSince == null) {
      atBoundSince = now;
    }
    Duration wait = index == 0 ? jittered(FIRST_DEGRADE_STAYS) : minStay;
    boolean waited = now.minus(atBoundSince).compareTo(wait) >= 0;
    boolean stayed = index == 0 || now.minus(changedAt).compareTo(minStay) >= 0;
    return waited && stayed ? change(now, index + 1, 0, condition) : null;
  }

  /**
   * Until the level above is taken, this one stays at a shed fraction of 0, which rejects nothing.
   */
  private LevelTransition restore(Duration now) {
    if (atBoundSince == null) {
      atBoundSince = now;
    }
    boolean waited = now.minus(atBoundSince).compareTo(jittered(RESTORE_STAYS)) >= 0;
    if (!waited || !stayedLong(now)) {
      return null;
    }
    restoredBefore = true;
    // The level above starts where it was when this one was taken, and is restored next.
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
    atBoundSince = null;
    return new LevelTransition(previous, level(), condition);
  }

  private boolean stayedLong(Duration now) {
    return now.minus(changedAt).compareTo(minStay.multipliedBy(STAYS_PER_LEVEL)) >= 0;
  }

  private Duration jittered(double stays) {
    return Duration.ofNanos((long) (minStay.toNanos() * stays * jitter));
  }

  private double drawJitter() {
    return MIN_JITTER + JITTER_RANGE * random.nextDouble();
  }
}
