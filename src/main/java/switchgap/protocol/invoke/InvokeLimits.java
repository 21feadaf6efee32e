package switchgap.protocol.invoke;

/**
 * Bounds of the invoke API.
 *
 * @param maxPendingRequests requests pending at a time; a further one is not accepted
 * @param maxPollSeconds longest time that a poll for a deferred response may wait
 */
public record InvokeLimits(int maxPendingRequests, int maxPollSeconds) {}
