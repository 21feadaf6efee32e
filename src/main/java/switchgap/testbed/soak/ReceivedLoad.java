package switchgap.testbed.soak;

/**
 * A load command as observed by the worker that received it; the sender is unknown.
 *
 * @param worker name of the worker in the records
 * @param receivedNanos {@link System#nanoTime} at which the complete command had arrived
 */
record ReceivedLoad(String worker, long receivedNanos) {}
