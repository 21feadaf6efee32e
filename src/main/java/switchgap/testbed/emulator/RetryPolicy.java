package switchgap.testbed.emulator;

/**
 * How clients time out and retry.
 *
 * @param maxRetries retries at most
 * @param minTimeoutShare least share of the request class's timeout that a client waits
 * @param backoff pause before the first retry in microseconds; doubles with each
 * @param honourShare share of clients that honour a retry-after time
 */
public record RetryPolicy(
    int maxRetries, double minTimeoutShare, long backoff, double honourShare) {}
