package switchgap.testbed.soak;

/**
 * A load command as the worker that received it saw it; which router sent it is not known.
 *
 * @param worker name of the worker
 * @param receivedNanos {@link System#nanoTime} at which the whole command had arrived
 */
record ReceivedLoad(String worker, long receivedNanos) {}
