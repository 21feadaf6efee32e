package switchgap.testbed.experiment;

import switchgap.policy.api.RouterSettings;
import switchgap.router.RouterCore;

/**
 * Baseline for load shedding with a static threshold: when a router has {@code maxPendingRequests}
 * pending requests or more, it rejects all request classes except those with the highest priority
 * weight.
 *
 * @param maxPendingRequests smallest number of pending requests at which requests are rejected
 */
record StaticThreshold(int maxPendingRequests) {
  boolean rejects(RouterCore core, RouterSettings settings, int requestClass) {
    double maxWeight = 0;
    for (int i = 0; i < settings.requestClassCount(); i++) {
      maxWeight = Math.max(maxWeight, settings.priorityWeight(i));
    }
    return settings.priorityWeight(requestClass) < maxWeight
        && core.pendingRequests() >= maxPendingRequests;
  }
}
