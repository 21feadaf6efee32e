package switchgap.admission;

import java.util.EnumSet;
import java.util.Set;

/** The request classes that each service level may reject, derived from the settings. Immutable. */
final class RejectionRules {
  private final ServiceLevel[] firstRejectingLevels;

  RejectionRules(AdmissionSettings settings) {
    firstRejectingLevels = new ServiceLevel[settings.priorityWeights().length];
    for (int i = 0; i < firstRejectingLevels.length; i++) {
      firstRejectingLevels[i] = firstRejectingLevel(settings, i);
    }
  }

  private static ServiceLevel firstRejectingLevel(AdmissionSettings settings, int requestClass) {
    if (settings.exempt()[requestClass]) {
      return null;
    }
    if (settings.isTopPriority(requestClass)) {
      return ServiceLevel.HOLD;
    }
    return settings.isIdempotent(requestClass) ? ServiceLevel.LEAST : ServiceLevel.MOST;
  }

  /** The first level that may reject a request class; null if the class is exempt. */
  ServiceLevel firstRejectingLevel(int requestClass) {
    return firstRejectingLevels[requestClass];
  }

  /**
   * FULL, HOLD and the levels at which a request class is first rejected, in descending order of
   * service.
   */
  ServiceLevel[] effectiveLevels() {
    Set<ServiceLevel> levels = EnumSet.of(ServiceLevel.FULL, ServiceLevel.HOLD);
    for (ServiceLevel level : firstRejectingLevels) {
      if (level != null) {
        levels.add(level);
      }
    }
    return levels.toArray(new ServiceLevel[0]);
  }
}
