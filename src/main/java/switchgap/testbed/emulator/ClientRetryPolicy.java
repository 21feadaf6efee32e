package switchgap.testbed.emulator;

/**
 * How clients time out and retry.
 *
 * @param maxRetries maximum number of retries of a request
 * @param minTimeoutShare lower bound of a client's timeout, as a share of the request class's
 *     timeout
 * @param initialBackoff delay before the first retry in microseconds; it doubles with each retry
 * @param retryAfterHonouredShare probability that a client honours a retry-after time
 */
public record ClientRetryPolicy(
    int maxRetries, double minTimeoutShare, long initialBackoff, double retryAfterHonouredShare) {}
