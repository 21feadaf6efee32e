package switchgap.testbed.emulator;

/**
 * A request class as its clients see it. Times in microseconds.
 *
 * @param name name of the request class
 * @param latencyObjective latency objective
 * @param timeout longest timeout
 * @param priorityWeight priority weight of one request
 * @param lateShare share of the weight that a response past the objective earns
 * @param retryable whether any failure but a refusal may be retried
 * @param idempotent whether requests carry an idempotency key
 */
public record RequestClassProfile(
    String name,
    long latencyObjective,
    long timeout,
    double priorityWeight,
    double lateShare,
    boolean retryable,
    boolean idempotent) {}
