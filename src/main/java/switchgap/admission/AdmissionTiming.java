package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Time constants of admission control, proportional to the longest latency objective.
 *
 * @param minStay minimum time that a level stays in effect; drawn at random for each router
 * @param rotationPeriod period of the shedding rotations
 */
record AdmissionTiming(Duration minStay, Duration rotationPeriod) {
  /**
   * Minimum stay on a level, as a multiple of the longest latency objective. Prevents oscillation
   * between levels.
   */
  private static final double MIN_STAY_OBJECTIVE_FACTOR = 10;

  /**
   * Smallest value of the random factor on the minimum stay. The factor prevents routers from
   * changing levels simultaneously.
   */
  private static final double MIN_STAY_JITTER_FACTOR = 0.8;

  /** Width of the range of the random factor on the minimum stay. */
  private static final double STAY_JITTER_RANGE = 0.4;

  /**
   * Rotation period, as a multiple of the longest latency objective. Long enough that a retry
   * within its objective gets the same decision, and finite so that no key is shed forever.
   */
  private static final double ROTATION_OBJECTIVE_FACTOR = 80;

  /** Computes the time constants; draws one number from the generator. */
  static AdmissionTiming draw(AdmissionSettings settings, SplittableRandom random) {
    double objectiveSeconds = settings.longestObjective().toNanos() / 1e9;
    double stayJitter = MIN_STAY_JITTER_FACTOR + STAY_JITTER_RANGE * random.nextDouble();
    return new AdmissionTiming(
        ofSeconds(objectiveSeconds * MIN_STAY_OBJECTIVE_FACTOR * stayJitter),
        ofSeconds(objectiveSeconds * ROTATION_OBJECTIVE_FACTOR));
  }

  private static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }
}
