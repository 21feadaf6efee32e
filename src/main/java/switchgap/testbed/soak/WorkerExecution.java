package switchgap.testbed.soak;

/**
 * An attempt as its worker saw it.
 *
 * @param requestId the request's id
 * @param worker the worker's name
 * @param receivedNanos {@link System#nanoTime} at which it had come whole
 * @param maxMillis the time that the router gave it
 * @param executed whether it ran; false where it was turned away
 */
record WorkerExecution(
    String requestId, String worker, long receivedNanos, long maxMillis, boolean executed) {}
