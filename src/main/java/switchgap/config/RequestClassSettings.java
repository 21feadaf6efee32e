package switchgap.config;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;

/**
 * A request class of the YAML document.
 *
 * @param name the class's name, by which requests select it
 * @param latencyObjective time within which a response earns the whole weight
 * @param timeout deadline of a request that states none, and the longest one that it may state
 * @param priorityWeight weight of a response within the latency objective
 * @param lateValueShare share of the weight, from 0 to 1, that a later response still earns
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope workers among which a repeated idempotency key is detected
 * @param deduplicationWindow time for which an idempotency key is remembered; zero for none
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
