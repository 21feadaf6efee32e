package switchgap.admission;

/**
 * The control law: from the measured pressure and missed objectives to the rate at which the shed
 * fraction is to change. Rates are changes of the shed fraction a second; below 0 service is
 * restored.
 */
final class ShedRateControl {
  // --- thresholds
  /**
   * Pressure from which service is reduced: fraction of all admitted weight that found no capacity.
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
   * Fraction of either threshold below which service is restored: guards against a level that
   * oscillates.
   */
  private static final double RESTORE_THRESHOLD = 0.4;

  /** Multiple of the threshold from which a level that was just restored is taken again at once. */
  private static final double SEVERE_PRESSURE = 2;

  /**
   * CPU utilization below which no pressure is an overload: a single full replica is a matter of
   * load balancing.
   */
  private static final double BUSY_UTILIZATION = 0.85;

  /**
   * Fraction of BUSY_UTILIZATION below which workers have spare capacity: guards against restoring
   * in a short lull.
   */
  private static final double SPARE_FRACTION = 0.8;

  /**
   * CPU utilization below which missed objectives come from loading functions, not from an
   * overload.
   */
  private static final double MISS_UTILIZATION = 0.55;

  /**
   * Fraction of the allowed misses: where fewer than these remain, service is not restored. Guards
   * against restoring it into the next misses.
   */
  private static final double MISS_RESERVE = 0.5;

  // --- rates
  /**
   * For a pressure above its threshold by one. Guards against a jump: the rate is in proportion to
   * the excess.
   */
  private static final double PRESSURE_GAIN = 0.3;

  /**
   * For a fraction of missed objectives above the allowed one by one; in proportion for the same
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
   * Multiple of RESTORE_RATE at which a tenant within its quota is restored. Guards against
   * shedding for long what is within the quota.
   */
  private static final double TENANT_RESTORE_FACTOR = 4;

  private final PressureMonitor monitor;
  private final double protectedFraction;

  /**
   * Creates the control law.
   *
   * @param protectedFraction see {@link AdmissionSettings#protectedFraction}
   */
  ShedRateControl(PressureMonitor monitor, double protectedFraction) {
    this.monitor = monitor;
    this.protectedFraction = protectedFraction;
  }

  /** The signal for what is measured now. */
  ControlSignal signal() {
    if (!monitor.hasAnySamples()) {
      return new ControlSignal(-RESTORE_RATE, false, false);
    }
    double factor = monitor.hasReports() ? 1 : UNREPORTED_FACTOR;
    double overall = monitor.pressure() / PRESSURE_THRESHOLD / factor;
    double top = monitor.topPriorityPressure() / TOP_PRIORITY_THRESHOLD / factor;
    double relative = Math.max(overall, monitor.hasTopPrioritySamples() ? top : 0);
    double rate =
        missesRuleOutRestoring() ? rateForMisses() : rateForPressure(overall, top, relative);
    return new ControlSignal(rate, monitor.hasEnoughSamples(), relative >= SEVERE_PRESSURE);
  }

  /** The signal to the controller of a tenant that is within its quota. */
  static ControlSignal restoreTenant(ControlSignal measured) {
    return measured.withShedRate(-RESTORE_RATE * TENANT_RESTORE_FACTOR);
  }

  private boolean missesRuleOutRestoring() {
    return missesCount() && missedBeyondAllowed() >= -MISS_RESERVE * allowedMisses();
  }

  /** Whether missed objectives of top priority are measured, and may come from an overload. */
  private boolean missesCount() {
    return protectedFraction > 0
        && monitor.hasTopPrioritySamples()
        && (!monitor.hasReports() || monitor.meanUtilization() >= MISS_UTILIZATION);
  }

  private double rateForMisses() {
    return missedBeyondAllowed() >= 0 ? MISS_GAIN * missedBeyondAllowed() + MIN_SHED_RATE : 0;
  }

  private double missedBeyondAllowed() {
    return monitor.topPriorityMisses() - allowedMisses();
  }

  private double allowedMisses() {
    return 1 - protectedFraction;
  }

  /**
   * The rate that the pressure alone requires.
   *
   * @param overall the pressure, in thresholds
   * @param top the same for requests of top priority
   * @param relative the larger of the two
   */
  private double rateForPressure(double overall, double top, double relative) {
    boolean idle = monitor.hasReports() && monitor.meanUtilization() < BUSY_UTILIZATION;
    if (relative >= 1 && !idle) {
      double excess =
          relative == overall
              ? monitor.pressure() - PRESSURE_THRESHOLD
              : (top - 1) * TOP_PRIORITY_THRESHOLD;
      return PRESSURE_GAIN * excess + MIN_SHED_RATE;
    }
    if (relative <= RESTORE_THRESHOLD || idle) {
      return -RESTORE_RATE * Math.max(0, 1 - relative / RESTORE_THRESHOLD)
          - MIN_RESTORE_RATE
          - SPARE_GAIN * spareUtilization();
    }
    return 0;
  }

  private double spareUtilization() {
    return monitor.hasReports()
        ? Math.max(0, SPARE_FRACTION * BUSY_UTILIZATION - monitor.meanUtilization())
        : 0;
  }
}
