package switchgap.testbed.experiment;

import switchgap.policy.api.RouterSettings;
import switchgap.router.RouterCore;

/**
 * The baseline of load shedding by a static threshold: past so many pending requests at a router,
 * it rejects all request classes but those of the highest priority weight.
 *
 * @param maxPending pending requests at which it begins to reject
 */
record StaticThreshold(int maxPending) {
  boolean rejects(RouterCore core, RouterSettings settings, int requestClass) {
    double maxWeight = 0;
    for (int i = 0; i < settings.requestClassCount(); i++) {
      maxWeight = Math.max(maxWeight, settings.priorityWeight(i));
    }
    return settings.priorityWeight(requestClass) < maxWeight
        && core.pendingRequests() >= maxPending;
  }
}
