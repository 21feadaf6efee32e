package switchgap.testbed.soak;

/**
 * An attempt as observed by the worker that received it.
 *
 * @param requestId idempotency key of the request
 * @param worker name of the worker in the records
 * @param receivedNanos {@link System#nanoTime} at which the complete command had arrived
 * @param timeoutMillis timeout that the router passed to the worker
 * @param executed whether the worker executed the attempt; false if it rejected it
 */
record ReceivedAttempt(
    String requestId, String worker, long receivedNanos, long timeoutMillis, boolean executed) {}
