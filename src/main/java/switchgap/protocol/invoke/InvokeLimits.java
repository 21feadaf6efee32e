package switchgap.protocol.invoke;

/**
 * Limits of the invoke API.
 *
 * @param maxPendingRequests maximum number of pending requests; further ones are not accepted
 * @param maxPollSeconds longest time that a poll for a deferred response may wait, in seconds
 */
public record InvokeLimits(int maxPendingRequests, int maxPollSeconds) {}
