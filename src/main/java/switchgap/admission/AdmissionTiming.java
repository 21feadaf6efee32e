package switchgap.admission;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Time constants of admission control, in proportion to the longest latency objective.
 *
 * @param minStay shortest stay on a level; drawn for each router
 * @param rotationPeriod period of the shedding rotations
 */
record AdmissionTiming(Duration minStay, Duration rotationPeriod) {
  /** In longest latency objectives: guards against levels that oscillate. */
  private static final double MIN_STAY_OBJECTIVES = 10;

  /** Range of the factor on the shortest stay: guards against routers that change in step. */
  private static final double MIN_STAY_JITTER = 0.8;

  private static final double STAY_JITTER_RANGE = 0.4;

  /**
   * In longest latency objectives. Guards against a retry within its objective that finds another
   * decision, and against a key that is shed for ever.
   */
  private static final double ROTATION_OBJECTIVES = 80;

  /** Draws the jitter once from the generator. */
  static AdmissionTiming draw(AdmissionSettings settings, SplittableRandom random) {
    double objectiveSeconds = settings.longestObjective().toNanos() / 1e9;
    double stayJitter = MIN_STAY_JITTER + STAY_JITTER_RANGE * random.nextDouble();
    return new AdmissionTiming(
        ofSeconds(objectiveSeconds * MIN_STAY_OBJECTIVES * stayJitter),
        ofSeconds(objectiveSeconds * ROTATION_OBJECTIVES));
  }

  private static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }
}
