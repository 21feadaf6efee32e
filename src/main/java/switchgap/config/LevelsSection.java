package switchgap.config;

import java.time.Duration;
import switchgap.admission.ServiceLevel;

/**
 * The section {@code levels}: how far admission control may lower the service level under overload.
 *
 * @param enabled whether admission control is enabled
 * @param lowestLevel lowest service level that the router may choose by itself
 * @param pinnedLevel service level that is pinned at the router's start; null if none is
 * @param pinDuration time after the start for which the level stays pinned
 * @param protectedFraction fraction of the requests with the highest priority weight that must meet
 *     their latency objectives, at the cost of idempotent requests of lower weight; 0 if all
 *     requests are treated alike
 * @param exempt for each request class, whether it is exempt from rejection by any service level
 */
record LevelsSection(
    boolean enabled,
    ServiceLevel lowestLevel,
    ServiceLevel pinnedLevel,
    Duration pinDuration,
    double protectedFraction,
    boolean[] exempt) {
  private static final Duration DEFAULT_PIN_DURATION = Duration.ofMinutes(10);
  private static final double MAX_PROTECTED_FRACTION = 0.999;

  static LevelsSection read(YamlDocument section, RequestClassesSection classes) {
    boolean enabled = section.flag("act", true);
    ServiceLevel lowestLevel = section.choice("ceiling", ServiceLevel.class, ServiceLevel.HOLD);
    ServiceLevel pinnedLevel = section.choice("pin", ServiceLevel.class, null);
    Duration pinDuration = section.duration("pin_for", DEFAULT_PIN_DURATION);
    double protectedFraction = section.number("keep", 0, MAX_PROTECTED_FRACTION, 0);
    boolean[] exempt = readExempt(section, classes);
    section.rejectUnknownKeys();
    return new LevelsSection(
        enabled, lowestLevel, pinnedLevel, pinDuration, protectedFraction, exempt);
  }

  private static boolean[] readExempt(YamlDocument section, RequestClassesSection classes) {
    boolean[] exempt = new boolean[classes.classes().size()];
    for (String name : section.textList("spare")) {
      int requestClass = classes.index(name);
      if (requestClass < 0) {
        throw section.invalid("spare", "'" + name + "' is not a configured workload");
      }
      exempt[requestClass] = true;
    }
    return exempt;
  }
}
