package switchgap.admission;

/**
 * Measures the overload on the admitted requests: how much of their priority weight found no
 * capacity, missed its latency objective, and how busy the workers report to be. Older evidence
 * decays, faster the more there is.
 */
final class PressureMonitor {
  // --- thresholds
  /**
   * Pressure at which service is reduced: share of all admitted weight that found no capacity.
   * Guards against shedding for the few that find none in every load.
   */
  private static final double PRESSURE_THRESHOLD = 0.10;

  /**
   * The same among the requests of top priority. Guards against a loss among these that is hidden
   * in a total of many others.
   */
  private static final double TOP_PRIORITY_THRESHOLD = 0.05;

  /**
   * Factor on both where no worker reports its utilization: guards against acting on too little
   * knowledge.
   */
  private static final double UNREPORTED_FACTOR = 1.5;

  /**
   * Share of either threshold below which service is restored: guards against a level that comes
   * and goes.
   */
  private static final double RESTORE_THRESHOLD = 0.4;

  /** Times the threshold from which a level just left is taken again at once. */
  private static final double SEVERE_PRESSURE = 2;

  /**
   * CPU utilization below which no pressure is an overload: one full replica is the router's to
   * spread.
   */
  private static final double BUSY_UTILIZATION = 0.85;

  /**
   * Share of BUSY_UTILIZATION below which workers have spare capacity: guards against restoring in
   * a busy lull.
   */
  private static final double SPARE_FRACTION = 0.8;

  /**
   * CPU utilization below which missed objectives come from loading functions, not from an
   * overload.
   */
  private static final double MISS_UTILIZATION = 0.55;

  /**
   * Share of the allowed misses: where fewer than these are left, service is not restored. Guards
   * against restoring it into the next misses.
   */
  private static final double MISS_RESERVE = 0.5;

  // --- rates, in shed fraction a second
  /**
   * For a pressure above its threshold by one. Guards against a jump: the rate is in proportion to
   * the excess.
   */
  private static final double PRESSURE_GAIN = 0.3;

  /**
   * For a share of missed objectives above the allowed one by one; in proportion for the same
   * reason.
   */
  private static final double MISS_GAIN = 0.5;

  /** Added to both: guards against a rate of nearly 0 at the threshold. */
  private static final double MIN_SHED_RATE = 0.01;

  /** Restored with no pressure at all, or with too few requests to measure it. */
  private static final double RESTORE_RATE = 0.03;

  /**
   * Restored at least, where service is restored: guards against a rate of nearly 0 below the
   * threshold.
   */
  private static final double MIN_RESTORE_RATE = 0.005;

  /**
   * Restored in addition for spare capacity of all cores: guards against shedding on when the
   * overload is over.
   */
  private static final double SPARE_GAIN = 1;

  /**
   * Times RESTORE_RATE, at which a tenant that is not over its share is restored. Guards against
   * shedding for long what is within the share.
   */
  private static final double TENANT_RESTORE_FACTOR = 4;

  // --- evidence
  /**
   * Weight of a late request, as a share of one that found no capacity. Guards against taking
   * misses, which also come from loading functions, for an overload.
   */
  private static final double LATE_WEIGHT = 0.5;

  /** Requests measured before service is reduced: guards against acting on a single one. */
  private static final double MIN_SAMPLES = 8;

  /**
   * Requests measured before the share among those of top priority counts, and reports before they
   * do.
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

  /** Factor on the half-life where there is much: what was a second ago counts no more. */
  private static final double MIN_HALF_LIFE_FACTOR = 0.2;

  /** The factor is 1 at so many requests. */
  private static final double REFERENCE_SAMPLES = 4 * MIN_SAMPLES;

  private final double maxWeight;
  private final double protectedShare;
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
    this.protectedShare = settings.protectedShare();
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

  /** Share of the admitted priority weight that found no capacity. */
  double pressure() {
    return saturatedWeight / Math.max(admittedWeight, Double.MIN_NORMAL);
  }

  /** Requests that the pressure is measured on. */
  double samples() {
    return requests;
  }

  /** What the pressure asks for now. */
  ControlSignal measure() {
    if (requests < MIN_ANY_SAMPLES) {
      return new ControlSignal(-RESTORE_RATE, false, false);
    }
    double factor = hasReports() ? 1 : UNREPORTED_FACTOR;
    double overall = pressure() / PRESSURE_THRESHOLD / factor;
    double top =
        topSaturatedWeight
            / Math.max(topAdmittedWeight, Double.MIN_NORMAL)
            / TOP_PRIORITY_THRESHOLD
            / factor;
    double relative = Math.max(overall, hasTopPrioritySamples() ? top : 0);
    double rate;
    if (missesCount() && missedBeyondAllowed() >= -MISS_RESERVE * allowedMisses()) {
      rate = missedBeyondAllowed() >= 0 ? MISS_GAIN * missedBeyondAllowed() + MIN_SHED_RATE : 0;
    } else {
      rate = shedRate(overall, top, relative);
    }
    return new ControlSignal(rate, requests >= MIN_SAMPLES, relative >= SEVERE_PRESSURE);
  }

  /** The signal to the controller of a tenant that is not over its share. */
  static ControlSignal restoreTenant(ControlSignal measured) {
    return measured.withShedRate(-RESTORE_RATE * TENANT_RESTORE_FACTOR);
  }

  /**
   * The rate that the pressure asks for.
   *
   * @param overall the pressure, in thresholds
   * @param top the same for requests of top priority
   * @param relative the larger of the two
   */
  private double shedRate(double overall, double top, double relative) {
    boolean idle = hasReports() && meanUtilization() < BUSY_UTILIZATION;
    if (relative >= 1 && !idle) {
      double excess =
          relative == overall
              ? pressure() - PRESSURE_THRESHOLD
              : (top - 1) * TOP_PRIORITY_THRESHOLD;
      return PRESSURE_GAIN * excess + MIN_SHED_RATE;
    }
    if (relative <= RESTORE_THRESHOLD || idle) {
      double spare =
          hasReports() ? Math.max(0, SPARE_FRACTION * BUSY_UTILIZATION - meanUtilization()) : 0;
      return -RESTORE_RATE * Math.max(0, 1 - relative / RESTORE_THRESHOLD)
          - MIN_RESTORE_RATE
          - SPARE_GAIN * spare;
    }
    return 0;
  }

  /**
   * Whether missed objectives of requests of top priority are measured, and may come from an
   * overload.
   */
  private boolean missesCount() {
    return protectedShare > 0
        && hasTopPrioritySamples()
        && (!hasReports() || meanUtilization() >= MISS_UTILIZATION);
  }

  private double missedBeyondAllowed() {
    return topMissedWeight / topAdmittedWeight - allowedMisses();
  }

  private double allowedMisses() {
    return 1 - protectedShare;
  }

  private boolean hasTopPrioritySamples() {
    return topAdmittedWeight >= MIN_PARTIAL_SAMPLES * maxWeight;
  }

  private boolean hasReports() {
    return utilizationReports >= MIN_PARTIAL_SAMPLES;
  }

  private double meanUtilization() {
    return utilizationSum / utilizationReports;
  }

  /** What is retained of evidence after so many seconds, by how much there is. */
  double retained(double seconds) {
    return Math.pow(
        0.5,
        seconds
            / halfLifeSeconds
            / Math.max(
                MIN_HALF_LIFE_FACTOR,
                Math.min(MAX_HALF_LIFE_FACTOR, REFERENCE_SAMPLES / requests)));
  }

  /** What is retained after so many seconds with little evidence: the slowest decay. */
  double retainedAtMost(double seconds) {
    return Math.pow(0.5, seconds / halfLifeSeconds / MAX_HALF_LIFE_FACTOR);
  }

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
