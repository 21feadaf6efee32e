package switchgap.config;

import java.time.Duration;
import switchgap.admission.ServiceLevel;

/**
 * The section {@code levels}: how far service may be degraded under overload.
 *
 * @param enabled whether levels act at all
 * @param lowestLevel the lowest service that the router may come to by itself
 * @param pinnedLevel the level to hold from the start on, or null
 * @param protectedShare share of their latency objectives that the most important request classes
 *     keep
 * @param exempt by request class: whether no level may touch it
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
