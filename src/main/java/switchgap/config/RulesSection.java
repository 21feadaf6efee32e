package switchgap.config;

import java.time.Duration;

/** The section {@code rules}: the slow start of workers, and the quota of load commands. */
record RulesSection(SlowStart slowStart, LoadQuota loadQuota) {
  private static final double MAX_MULTIPLE = 1e6;
  private static final double MAX_LOADS = 1e6;

  /**
   * The slow start of workers.
   *
   * @param capacityShare share of its capacity that a worker has when it starts
   * @param duration time in which its capacity rises to all of it
   * @param overloadMultiple multiple of its capacity at which a worker crashes during slow start
   * @param overloadWindow time over which that multiple is measured
   */
  record SlowStart(
      double capacityShare, Duration duration, double overloadMultiple, Duration overloadWindow) {
    /** So short that a worker has all its capacity from its start. */
    private static final Duration DEFAULT_DURATION = Duration.ofMillis(1);

    private static final double DEFAULT_OVERLOAD_MULTIPLE = 3;
    private static final Duration DEFAULT_OVERLOAD_WINDOW = Duration.ofSeconds(1);

    static SlowStart read(YamlDocument section) {
      double capacityShare = section.number("cold_share", 0, 1, 1);
      Duration duration = section.duration("cold_span", DEFAULT_DURATION);
      if (duration.isZero()) {
        throw section.invalid("cold_span", "must be above 0; leave it out where nothing is cold");
      }
      double overloadMultiple =
          section.number("fall_multiple", 0, MAX_MULTIPLE, DEFAULT_OVERLOAD_MULTIPLE);
      Duration overloadWindow = section.duration("fall_span", DEFAULT_OVERLOAD_WINDOW);
      if (overloadWindow.isZero()) {
        throw section.invalid("fall_span", "must be above 0");
      }
      return new SlowStart(capacityShare, duration, overloadMultiple, overloadWindow);
    }
  }

  /**
   * Load commands allowed in a window.
   *
   * @param base commands allowed without any request
   * @param perRequest further commands allowed for each request
   * @param window time over which commands and requests are counted; zero for no quota
   */
  record LoadQuota(double base, double perRequest, Duration window) {
    static LoadQuota read(YamlDocument section) {
      double base = section.number("loads_free", 0, MAX_LOADS, 0);
      double perRequest = section.number("loads_share", 0, MAX_LOADS, 0);
      Duration window = section.duration("loads_span", Duration.ZERO);
      return new LoadQuota(base, perRequest, window);
    }
  }

  static RulesSection read(YamlDocument section) {
    SlowStart slowStart = SlowStart.read(section);
    LoadQuota loadQuota = LoadQuota.read(section);
    section.rejectUnknownKeys();
    return new RulesSection(slowStart, loadQuota);
  }
}
