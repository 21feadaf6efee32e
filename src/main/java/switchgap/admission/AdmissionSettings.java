package switchgap.admission;

import java.time.Duration;
import switchgap.policy.api.Idempotency;

/**
 * The operator's settings for admission control. Arrays are indexed by request class or by tenant.
 *
 * @param priorityWeights priority weight of each request class
 * @param idempotency idempotency of each request class
 * @param latencyObjectives latency objective of each request class
 * @param tenantQuotas quota of each tenant, in any unit; only the ratios matter
 * @param exempt whether each request class is exempt from rejection by any level
 * @param lowestLevel the lowest level that the controller may enter without a pin
 * @param maxRetryAfter the longest retry delay sent to rejected clients; null to send none
 * @param protectedFraction fraction of the top priority requests that should meet their latency
 *     objectives, at the cost of all idempotent requests of lower priority; 0 to disable this
 *     protection
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

  /** Whether no other class has a larger priority weight. */
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
   * The longest latency objective, at least 1 ms. The controllers' time constants are multiples of
   * it.
   */
  Duration longestObjective() {
    Duration longest = MIN_OBJECTIVE;
    for (Duration objective : latencyObjectives) {
      longest = longest.compareTo(objective) < 0 ? objective : longest;
    }
    return longest;
  }
}
