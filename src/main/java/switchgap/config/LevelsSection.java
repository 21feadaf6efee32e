package switchgap.config;

import java.time.Duration;
import switchgap.admission.ServiceLevel;

/**
 * The section {@code levels}: how far admission control may degrade the service under overload.
 *
 * @param enabled whether admission control is enabled
 * @param lowestLevel the lowest level that the router may choose by itself
 * @param pinnedLevel the level to hold from the start on; null where it is not fixed
 * @param pinDuration time from the start for which it is held
 * @param protectedShare share of their latency objectives that the most important request classes
 *     keep
 * @param exempt by request class, whether it is exempt from all levels
 */
record LevelsSection(
    boolean enabled,
    ServiceLevel lowestLevel,
    ServiceLevel pinnedLevel,
    Duration pinDuration,
    double protectedShare,
    boolean[] exempt) {
  private static final Duration DEFAULT_PIN_DURATION = Duration.ofMinutes(10);
  private static final double MAX_PROTECTED_SHARE = 0.999;

  static LevelsSection read(YamlDocument section, RequestClassesSection classes) {
    boolean enabled = section.flag("act", true);
    ServiceLevel lowestLevel = section.choice("ceiling", ServiceLevel.class, ServiceLevel.HOLD);
    ServiceLevel pinnedLevel = section.choice("pin", ServiceLevel.class, null);
    Duration pinDuration = section.duration("pin_for", DEFAULT_PIN_DURATION);
    double protectedShare = section.number("keep", 0, MAX_PROTECTED_SHARE, 0);
    boolean[] exempt = readExempt(section, classes);
    section.rejectUnknownKeys();
    return new LevelsSection(
        enabled, lowestLevel, pinnedLevel, pinDuration, protectedShare, exempt);
  }

  private static boolean[] readExempt(YamlDocument section, RequestClassesSection classes) {
    boolean[] exempt = new boolean[classes.classes().size()];
    for (String name : section.textList("spare")) {
      int requestClass = classes.index(name);
      if (requestClass < 0) {
        throw section.invalid("spare", "'" + name + "' is no workload");
      }
      exempt[requestClass] = true;
    }
    return exempt;
  }
}
