package switchgap.config;

import java.time.Duration;

/**
 * The section {@code rules}: limits of the workers that the router must respect. A worker that has
 * just started serves fewer requests than later, and workers may receive only a limited number of
 * load commands.
 *
 * @param slowStart how the capacity of a started worker rises
 * @param loadQuota how many load commands are allowed
 */
record RulesSection(SlowStart slowStart, LoadQuota loadQuota) {
  private static final double MAX_OVERLOAD_MULTIPLE = 1e6;
  private static final double MAX_LOAD_COMMANDS = 1e6;

  /**
   * Slow start: the capacity of a worker rises to the full value in the time after its start.
   *
   * @param capacityShare share of the full capacity that a worker has when it starts, from 0 to 1
   * @param duration time until a worker has its full capacity
   * @param overloadMultiple multiple of its current capacity at which a worker crashes during slow
   *     start
   * @param overloadWindow time over which the load is compared with that multiple
   */
  record SlowStart(
      double capacityShare, Duration duration, double overloadMultiple, Duration overloadWindow) {
    /** Short enough that a worker has its full capacity from the start. */
    private static final Duration DEFAULT_DURATION = Duration.ofMillis(1);

    private static final double DEFAULT_OVERLOAD_MULTIPLE = 3;
    private static final Duration DEFAULT_OVERLOAD_WINDOW = Duration.ofSeconds(1);

    static SlowStart read(YamlDocument section) {
      double capacityShare = section.number("cold_share", 0, 1, 1);
      Duration duration = section.duration("cold_span", DEFAULT_DURATION);
      if (duration.isZero()) {
        throw section.invalid(
            "cold_span", "must be above 0; omit it if workers need no slow start");
      }
      double overloadMultiple =
          section.number("fall_multiple", 0, MAX_OVERLOAD_MULTIPLE, DEFAULT_OVERLOAD_MULTIPLE);
      Duration overloadWindow = section.duration("fall_span", DEFAULT_OVERLOAD_WINDOW);
      if (overloadWindow.isZero()) {
        throw section.invalid("fall_span", "must be above 0");
      }
      return new SlowStart(capacityShare, duration, overloadMultiple, overloadWindow);
    }
  }

  /**
   * The number of load commands that are allowed within a time window.
   *
   * @param base load commands allowed regardless of the number of requests
   * @param perRequest further load commands allowed for each request
   * @param window time over which load commands and requests are counted; zero disables the quota
   */
  record LoadQuota(double base, double perRequest, Duration window) {
    static LoadQuota read(YamlDocument section) {
      double base = section.number("loads_free", 0, MAX_LOAD_COMMANDS, 0);
      double perRequest = section.number("loads_share", 0, MAX_LOAD_COMMANDS, 0);
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
