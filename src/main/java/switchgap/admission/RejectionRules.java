package switchgap.admission;

import java.util.EnumSet;
import java.util.Set;

/** Which service level may reject which request class, as the settings imply it. Immutable. */
final class RejectionRules {
  private final ServiceLevel[] firstRejecting;

  RejectionRules(AdmissionSettings settings) {
    firstRejecting = new ServiceLevel[settings.priorityWeights().length];
    for (int i = 0; i < firstRejecting.length; i++) {
      firstRejecting[i] = firstRejecting(settings, i);
    }
  }

  private static ServiceLevel firstRejecting(AdmissionSettings settings, int requestClass) {
    if (settings.exempt()[requestClass]) {
      return null;
    }
    if (settings.isTopPriority(requestClass)) {
      return ServiceLevel.HOLD;
    }
    return settings.isIdempotent(requestClass) ? ServiceLevel.LEAST : ServiceLevel.MOST;
  }

  /** The first level that may reject a request class; null where the class is exempt. */
  ServiceLevel firstRejecting(int requestClass) {
    return firstRejecting[requestClass];
  }

  /** The levels that reject any request class, from FULL down. */
  ServiceLevel[] effectiveLevels() {
    Set<ServiceLevel> levels = EnumSet.of(ServiceLevel.FULL, ServiceLevel.HOLD);
    for (ServiceLevel level : firstRejecting) {
      if (level != null) {
        levels.add(level);
      }
    }
    return levels.toArray(new ServiceLevel[0]);
  }
}
