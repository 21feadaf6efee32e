package switchgap.admission;

import java.time.Duration;
import switchgap.policy.api.Idempotency;

/**
 * The operator's settings for admission control. Arrays of request classes share one index, as do
 * those of tenants.
 *
 * @param priorityWeights of each request class
 * @param idempotency of each request class
 * @param latencyObjectives of each request class
 * @param tenantQuotas of each tenant, in any unit
 * @param exempt request classes that no level may reject
 * @param lowestLevel the lowest level that the controller may come to by itself
 * @param maxRetryAfter the longest delay that rejected clients are given; null for none
 * @param protectedFraction fraction of the top priority requests that are to meet their latency
 *     objectives, at the cost of all idempotent requests of lower priority; 0 where all requests
 *     count alike
 */
public record AdmissionSettings(
    double[] priorityWeights,
    Idempotency[] idempotency,
    Duration[] latencyObjectives,
    double[] tenantQuotas,
    boolean[] exempt,
    ServiceLevel lowestLevel,
    Duration maxRetryAfter,
    double protectedFraction) {
  private static final Duration MIN_OBJECTIVE = Duration.ofMillis(1);

  /** The largest priority weight of a request class. */
  double maxPriorityWeight() {
    double max = 0;
    for (double weight : priorityWeights) {
      max = Math.max(max, weight);
    }
    return max;
  }

  /** Whether no class has a larger priority weight. */
  boolean isTopPriority(int requestClass) {
    return priorityWeights[requestClass] >= maxPriorityWeight();
  }

  boolean isIdempotent(int requestClass) {
    return idempotency[requestClass] == Idempotency.IDEMPOTENT;
  }

  int tenantCount() {
    return tenantQuotas.length;
  }

  /**
   * The longest latency objective, at least a millisecond: the unit of the controllers' time
   * constants.
   */
  Duration longestObjective() {
    Duration longest = MIN_OBJECTIVE;
    for (Duration objective : latencyObjectives) {
      longest = longest.compareTo(objective) < 0 ? objective : longest;
    }
    return longest;
  }
}
