package switchgap.admission;

import java.time.Duration;
import switchgap.policy.api.Idempotency;

/**
 * What levels go by, from the operator's terms.
 *
 * @param importance  of each workload
 * @param repeat      of each workload
 * @param target      start target of each workload
 * @param share       of each customer, in any unit
 * @param spared      workloads that no level may touch
 * @param ceiling     the lowest service that levels may come to by themselves
 * @param comeBack    the longest come-back time, null where none is told
 * @param keep        share of their start targets that the most important workloads keep, at the cost of all lesser work that may
 *                    run again; 0 where service as a whole goes first
 */
public record AdmissionSettings(double[] priorityWeights, Idempotency[] idempotency,
    Duration[] latencyObjectives, double[] tenantShares, boolean[] exempt,
    ServiceLevel lowestLevel, Duration maxRetryAfter, double protectedShare) {
    double maxPriorityWeight() {
        double most = 0;
        for (double i : priorityWeights) { most = Math.max(most, i); }
        return most;
    }

    Duration longestObjective() {
        Duration most = Duration.ofMillis(1);
        for (Duration t : latencyObjectives) { most = most.compareTo(t) < 0 ? t : most; }
        return most;
    }
}
