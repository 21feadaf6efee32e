package switchgap.config;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;

/**
 * The settings of one request class, read from the section {@code workloads}.
 *
 * @param name name of the class, by which requests select it
 * @param latencyObjective latency up to which a response earns the full priority weight
 * @param timeout timeout of a request that sets none, and the longest timeout that one may set
 * @param priorityWeight weight of a response within the latency objective
 * @param lateValueShare share of the weight, from 0 to 1, that a response after the latency
 *     objective still earns
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope group of workers within which a repeated idempotency key is detected
 * @param deduplicationWindow time for which workers remember an idempotency key; zero if they do
 *     not
 */
public record RequestClassSettings(
    String name,
    Duration latencyObjective,
    Duration timeout,
    double priorityWeight,
    double lateValueShare,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    Duration deduplicationWindow) {}
