package switchgap.testbed.emulator;

/**
 * The properties of a request class that matter to its clients. Times are in microseconds.
 *
 * @param name name of the request class
 * @param latencyObjective time within which a response earns the full weight
 * @param timeout maximum timeout of an attempt
 * @param priorityWeight priority weight of one request
 * @param lateShare share of the weight that a response after the latency objective earns
 * @param retryable whether an attempt may be retried after any failure except a refusal
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
