package switchgap.admission;

/**
 * Measures the overload on the admitted requests: how much of their priority weight found no
 * capacity or missed its latency objective, and the CPU utilization that workers report. Older
 * evidence decays, faster the more there is.
 */
final class PressureMonitor {
  /**
   * Weight of a late request, as a fraction of one that found no capacity. Guards against taking
   * misses, which also come from loading functions, for an overload.
   */
  private static final double LATE_WEIGHT = 0.5;

  /** Requests measured before service is reduced: guards against acting on a single one. */
  private static final double MIN_SAMPLES = 8;

  /**
   * Requests of top priority measured before their pressure counts; also the utilization reports
   * received before these count.
   */
  private static final double MIN_PARTIAL_SAMPLES = MIN_SAMPLES / 2;

  /**
   * Fewer requests: guards against a level that admits nothing and so never sees that the overload
   * is gone.
   */
  private static final double MIN_ANY_SAMPLES = MIN_SAMPLES / 4;

  /**
   * Half-life of evidence, in longest latency objectives: guards against acting on what is over.
   */
  private static final double HALF_LIFE_OBJECTIVES = 4;

  /**
   * Factor on the half-life where there is little evidence: guards against losing the little there
   * is.
   */
  private static final double MAX_HALF_LIFE_FACTOR = 6;

  /** Factor on the half-life where there is much: what was a second ago hardly counts. */
  private static final double MIN_HALF_LIFE_FACTOR = 0.2;

  /** The factor is 1 at so many requests. */
  private static final double REFERENCE_SAMPLES = 4 * MIN_SAMPLES;

  private final double maxWeight;
  private final double halfLifeSeconds;
  private double requests;
  private double admittedWeight;
  private double saturatedWeight;
  private double topAdmittedWeight;
  private double topSaturatedWeight;
  private double topMissedWeight;
  private double utilizationReports;
  private double utilizationSum;

  PressureMonitor(AdmissionSettings settings) {
    this.maxWeight = settings.maxPriorityWeight();
    double longestObjectiveSeconds = settings.longestObjective().toNanos() / 1e9;
    this.halfLifeSeconds = longestObjectiveSeconds * HALF_LIFE_OBJECTIVES;
  }

  /** A worker's CPU utilization, 0 to 1; NaN, which is ignored, where it reports none. */
  void workerReported(double utilization) {
    if (Double.isNaN(utilization)) {
      return;
    }
    utilizationReports++;
    utilizationSum += utilization;
  }

  /** An admitted request of a priority weight ended. */
  void requestEnded(double weight, RequestOutcome outcome) {
    double saturated =
        switch (outcome) {
          case SATURATED -> weight;
          case LATE -> weight * LATE_WEIGHT;
          case IN_TIME, OTHER -> 0;
        };
    requests++;
    admittedWeight += weight;
    saturatedWeight += saturated;
    if (weight >= maxWeight) {
      topAdmittedWeight += weight;
      topSaturatedWeight += saturated;
      topMissedWeight += outcome == RequestOutcome.IN_TIME ? 0 : weight;
    }
  }

  /** Fraction of the admitted priority weight that found no capacity. */
  double pressure() {
    return saturatedWeight / Math.max(admittedWeight, Double.MIN_NORMAL);
  }

  /** Number of requests that the pressure is measured on; older ones count less. */
  double samples() {
    return requests;
  }

  /** The same among the requests of top priority. */
  double topPriorityPressure() {
    return topSaturatedWeight / Math.max(topAdmittedWeight, Double.MIN_NORMAL);
  }

  /** Fraction of the requests of top priority that missed their objectives; NaN without any. */
  double topPriorityMisses() {
    return topMissedWeight / topAdmittedWeight;
  }

  /** Whether enough requests were measured for any judgement. */
  boolean hasAnySamples() {
    return requests >= MIN_ANY_SAMPLES;
  }

  /** Whether enough requests were measured to reduce service. */
  boolean hasEnoughSamples() {
    return requests >= MIN_SAMPLES;
  }

  /** Whether enough requests of top priority were measured to judge these alone. */
  boolean hasTopPrioritySamples() {
    return topAdmittedWeight >= MIN_PARTIAL_SAMPLES * maxWeight;
  }

  /** Whether enough utilization reports were received to judge the workers. */
  boolean hasReports() {
    return utilizationReports >= MIN_PARTIAL_SAMPLES;
  }

  /** Mean of the reported CPU utilization, 0 to 1; NaN without reports. */
  double meanUtilization() {
    return utilizationSum / utilizationReports;
  }

  /** Fraction of the evidence that is retained after this time; the less, the more there is. */
  double retained(double seconds) {
    return Math.pow(
        0.5,
        seconds
            / halfLifeSeconds
            / Math.max(
                MIN_HALF_LIFE_FACTOR,
                Math.min(MAX_HALF_LIFE_FACTOR, REFERENCE_SAMPLES / requests)));
  }

  /** Fraction retained after this time where there is little evidence: the slowest decay. */
  double retainedAtMost(double seconds) {
    return Math.pow(0.5, seconds / halfLifeSeconds / MAX_HALF_LIFE_FACTOR);
  }

  /** Lets evidence decay to a fraction. */
  void decay(double retained) {
    requests *= retained;
    utilizationReports *= retained;
    utilizationSum *= retained;
    admittedWeight *= retained;
    saturatedWeight *= retained;
    topAdmittedWeight *= retained;
    topSaturatedWeight *= retained;
    topMissedWeight *= retained;
  }
}
