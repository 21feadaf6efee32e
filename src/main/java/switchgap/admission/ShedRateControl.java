package switchgap.admission;

/**
 * The control law, which maps the measured pressure and missed latency objectives to the rate of
 * change of the shed fraction. Rates are changes of the shed fraction per second; negative rates
 * restore service.
 */
final class ShedRateControl {
  // --- thresholds
  /**
   * Pressure above which service is reduced: the fraction of all admitted weight that found no
   * capacity. Above 0, because a few requests find no capacity under any load.
   */
  private static final double PRESSURE_THRESHOLD = 0.10;

  /**
   * Pressure of the top priority requests above which service is reduced. Detects losses among them
   * that are not visible in the total of all requests.
   */
  private static final double TOP_PRIORITY_THRESHOLD = 0.05;

  /**
   * Factor on both thresholds if no worker reports its utilization. Compensates for the missing
   * information.
   */
  private static final double UNREPORTED_FACTOR = 1.5;

  /**
   * Fraction of either threshold below which service is restored. This hysteresis prevents
   * oscillation.
   */
  private static final double RESTORE_THRESHOLD_FRACTION = 0.4;

  /**
   * Multiple of the threshold above which full service that was restored recently is reduced again
   * without the usual minimum stay.
   */
  private static final double SEVERE_PRESSURE_FACTOR = 2;

  /**
   * CPU utilization below which pressure is not considered an overload. It may come from a single
   * full replica, which is a matter of load balancing.
   */
  private static final double BUSY_UTILIZATION = 0.85;

  /**
   * Fraction of {@link #BUSY_UTILIZATION} below which workers have spare capacity. Below 1 to
   * prevent restoring in a short lull.
   */
  private static final double SPARE_FRACTION = 0.8;

  /**
   * CPU utilization below which missed objectives are attributed to function loads, not to an
   * overload.
   */
  private static final double MIN_MISS_UTILIZATION = 0.55;

  /**
   * Fraction of the allowed misses that must remain for service to be restored. Prevents restoring
   * service when the next misses would exceed the allowed ones.
   */
  private static final double MISS_RESERVE_FRACTION = 0.5;

  // --- rates
  /**
   * Shed rate per unit of pressure above the threshold. Proportional to the excess, which prevents
   * jumps.
   */
  private static final double PRESSURE_GAIN = 0.3;

  /**
   * Shed rate per unit of the fraction of missed objectives above the allowed fraction;
   * proportional for the same reason.
   */
  private static final double MISS_GAIN = 0.5;

  /** Added to both proportional rates. Prevents a rate of nearly 0 at the threshold. */
  private static final double MIN_SHED_RATE = 0.01;

  /** Restore rate without pressure, or with too few requests to measure it. */
  private static final double RESTORE_RATE = 0.03;

  /** Minimum restore rate. Prevents a rate of nearly 0 just below the threshold. */
  private static final double MIN_RESTORE_RATE = 0.005;

  /**
   * Additional restore rate per unit of spare CPU utilization. Ends shedding soon after the
   * overload is over.
   */
  private static final double SPARE_GAIN = 1;

  /**
   * Multiple of {@link #RESTORE_RATE} for a tenant within its quota, so that load within the quota
   * is not shed for long.
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

  /** Computes the signal from the current measurements. */
  ControlSignal signal() {
    if (!monitor.hasSamplesForPressure()) {
      return new ControlSignal(-RESTORE_RATE, false, false);
    }
    double thresholdFactor = monitor.hasUtilizationReports() ? 1 : UNREPORTED_FACTOR;
    double overallRatio = monitor.pressure() / PRESSURE_THRESHOLD / thresholdFactor;
    double topPriorityRatio =
        monitor.topPriorityPressure() / TOP_PRIORITY_THRESHOLD / thresholdFactor;
    double maxRatio =
        Math.max(overallRatio, monitor.hasTopPrioritySamples() ? topPriorityRatio : 0);
    double rate =
        missesPreventRestoring()
            ? rateForMisses()
            : rateForPressure(overallRatio, topPriorityRatio, maxRatio);
    return new ControlSignal(rate, monitor.hasEnoughSamples(), maxRatio >= SEVERE_PRESSURE_FACTOR);
  }

  /** The signal for the controller of a tenant that is within its quota. */
  static ControlSignal restoreTenant(ControlSignal measured) {
    return measured.withShedRate(-RESTORE_RATE * TENANT_RESTORE_FACTOR);
  }

  private boolean missesPreventRestoring() {
    return areMissesRelevant() && excessMisses() >= -MISS_RESERVE_FRACTION * allowedMisses();
  }

  /**
   * Whether missed objectives of top priority requests are measured and may be caused by an
   * overload.
   */
  private boolean areMissesRelevant() {
    return protectedFraction > 0
        && monitor.hasTopPrioritySamples()
        && (!monitor.hasUtilizationReports() || monitor.meanUtilization() >= MIN_MISS_UTILIZATION);
  }

  private double rateForMisses() {
    return excessMisses() >= 0 ? MISS_GAIN * excessMisses() + MIN_SHED_RATE : 0;
  }

  private double excessMisses() {
    return monitor.topPriorityMisses() - allowedMisses();
  }

  private double allowedMisses() {
    return 1 - protectedFraction;
  }

  /**
   * Computes the rate from the pressure, without regard to missed objectives.
   *
   * @param overallRatio the pressure as a multiple of its threshold
   * @param topPriorityRatio the pressure of top priority requests as a multiple of its threshold
   * @param maxRatio the larger of both, or {@code overallRatio} if too few top priority requests
   *     were measured
   */
  private double rateForPressure(double overallRatio, double topPriorityRatio, double maxRatio) {
    boolean isUnderutilized =
        monitor.hasUtilizationReports() && monitor.meanUtilization() < BUSY_UTILIZATION;
    if (maxRatio >= 1 && !isUnderutilized) {
      double excess =
          maxRatio == overallRatio
              ? monitor.pressure() - PRESSURE_THRESHOLD
              : (topPriorityRatio - 1) * TOP_PRIORITY_THRESHOLD;
      return PRESSURE_GAIN * excess + MIN_SHED_RATE;
    }
    if (maxRatio <= RESTORE_THRESHOLD_FRACTION || isUnderutilized) {
      return -RESTORE_RATE * Math.max(0, 1 - maxRatio / RESTORE_THRESHOLD_FRACTION)
          - MIN_RESTORE_RATE
          - SPARE_GAIN * spareUtilization();
    }
    return 0;
  }

  private double spareUtilization() {
    return monitor.hasUtilizationReports()
        ? Math.max(0, SPARE_FRACTION * BUSY_UTILIZATION - monitor.meanUtilization())
        : 0;
  }
}
