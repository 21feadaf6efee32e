package switchgap.testbed.soak;

/**
 * An attempt as the worker that received it saw it.
 *
 * @param requestId id of the request
 * @param worker name of the worker
 * @param receivedNanos {@link System#nanoTime} at which the whole command had arrived
 * @param timeoutMillis timeout that the router passed on
 * @param executed whether the worker executed it; false where it rejected it
 */
record ReceivedAttempt(
    String requestId, String worker, long receivedNanos, long timeoutMillis, boolean executed) {}
