package switchgap.admission;

/**
 * Measures overload from the outcomes of admitted requests (the fraction of their priority weight
 * that found no capacity or missed the latency objective) and from the CPU utilization that workers
 * report. Measurements decay exponentially; the more there are, the faster.
 */
final class PressureMonitor {
  /**
   * Weight of a late request relative to a request that found no capacity. Lower, because requests
   * may also be late because of function loads, without an overload.
   */
  private static final double LATE_WEIGHT = 0.5;

  /**
   * Minimum number of measured requests to reduce service. Prevents reacting to a single request.
   */
  private static final double MIN_SAMPLES = 8;

  /**
   * Minimum number of top priority requests to use their pressure, and of utilization reports to
   * use the utilization.
   */
  private static final double MIN_TOP_PRIORITY_SAMPLES = MIN_SAMPLES / 2;

  /**
   * Minimum number of measured requests to use the pressure at all; with fewer, service is
   * restored. Otherwise a level that admits no request would never detect the end of the overload.
   */
  private static final double MIN_SAMPLES_FOR_PRESSURE = MIN_SAMPLES / 4;

  /**
   * Half-life of measurements, as a multiple of the longest latency objective. Prevents reacting to
   * a past overload.
   */
  private static final double HALF_LIFE_OBJECTIVE_FACTOR = 4;

  /**
   * Maximum factor on the half-life, used when there are few measurements, which must not be lost
   * too early.
   */
  private static final double MAX_HALF_LIFE_FACTOR = 6;

  /**
   * Minimum factor on the half-life, used when there are many measurements, so that recent ones
   * dominate.
   */
  private static final double MIN_HALF_LIFE_FACTOR = 0.2;

  /** Number of measured requests at which the factor on the half-life is 1. */
  private static final double REFERENCE_SAMPLES = 4 * MIN_SAMPLES;

  private final double maxWeight;
  private final double halfLifeSeconds;
  private double sampleCount;
  private double admittedWeight;
  private double saturatedWeight;
  private double topAdmittedWeight;
  private double topSaturatedWeight;
  private double topMissedObjectiveWeight;
  private double utilizationReports;
  private double utilizationSum;

  PressureMonitor(AdmissionSettings settings) {
    this.maxWeight = settings.maxPriorityWeight();
    double longestObjectiveSeconds = settings.longestObjective().toNanos() / 1e9;
    this.halfLifeSeconds = longestObjectiveSeconds * HALF_LIFE_OBJECTIVE_FACTOR;
  }

  /**
   * Records a worker's CPU utilization, 0 to 1; NaN, for a response without a report, is ignored.
   */
  void workerReported(double utilization) {
    if (Double.isNaN(utilization)) {
      return;
    }
    utilizationReports++;
    utilizationSum += utilization;
  }

  /** Records the outcome of an admitted request with a priority weight. */
  void requestEnded(double weight, RequestOutcome outcome) {
    double saturated =
        switch (outcome) {
          case SATURATED -> weight;
          case LATE -> weight * LATE_WEIGHT;
          case IN_TIME, OTHER -> 0;
        };
    sampleCount++;
    admittedWeight += weight;
    saturatedWeight += saturated;
    if (weight >= maxWeight) {
      topAdmittedWeight += weight;
      topSaturatedWeight += saturated;
      topMissedObjectiveWeight += outcome == RequestOutcome.IN_TIME ? 0 : weight;
    }
  }

  /** The fraction of the admitted priority weight that found no capacity, 0 to 1. */
  double pressure() {
    return saturatedWeight / Math.max(admittedWeight, Double.MIN_NORMAL);
  }

  /** The number of requests on which the pressure is measured; older requests count less. */
  double samples() {
    return sampleCount;
  }

  /** The fraction of the admitted weight of top priority that found no capacity, 0 to 1. */
  double topPriorityPressure() {
    return topSaturatedWeight / Math.max(topAdmittedWeight, Double.MIN_NORMAL);
  }

  /**
   * The fraction of the top priority requests that missed their latency objectives; NaN if none
   * were measured.
   */
  double topPriorityMisses() {
    return topMissedObjectiveWeight / topAdmittedWeight;
  }

  /** Whether enough requests were measured to use the pressure at all. */
  boolean hasSamplesForPressure() {
    return sampleCount >= MIN_SAMPLES_FOR_PRESSURE;
  }

  /** Whether enough requests were measured to reduce service. */
  boolean hasEnoughSamples() {
    return sampleCount >= MIN_SAMPLES;
  }

  /** Whether enough top priority requests were measured to use their pressure. */
  boolean hasTopPrioritySamples() {
    return topAdmittedWeight >= MIN_TOP_PRIORITY_SAMPLES * maxWeight;
  }

  /** Whether enough utilization reports were received to use the utilization. */
  boolean hasUtilizationReports() {
    return utilizationReports >= MIN_TOP_PRIORITY_SAMPLES;
  }

  /** The mean of the reported CPU utilizations, 0 to 1; NaN without reports. */
  double meanUtilization() {
    return utilizationSum / utilizationReports;
  }

  /** The fraction of the measurements that is retained after a time; smaller the more there are. */
  double retainedFraction(double seconds) {
    return Math.pow(
        0.5,
        seconds
            / halfLifeSeconds
            / Math.max(
                MIN_HALF_LIFE_FACTOR,
                Math.min(MAX_HALF_LIFE_FACTOR, REFERENCE_SAMPLES / sampleCount)));
  }

  /**
   * The fraction retained after a time with the slowest decay, which applies to few measurements.
   */
  double maxRetainedFraction(double seconds) {
    return Math.pow(0.5, seconds / halfLifeSeconds / MAX_HALF_LIFE_FACTOR);
  }

  /** Multiplies all measurements by {@code retainedFraction}. */
  void decay(double retainedFraction) {
    sampleCount *= retainedFraction;
    utilizationReports *= retainedFraction;
    utilizationSum *= retainedFraction;
    admittedWeight *= retainedFraction;
    saturatedWeight *= retainedFraction;
    topAdmittedWeight *= retainedFraction;
    topSaturatedWeight *= retainedFraction;
    topMissedObjectiveWeight *= retainedFraction;
  }
}
