package switchgap.policy.api;

import java.time.Duration;

/**
 * The result of an attempt.
 *
 * @param attempt number of the attempt, from 0 for each request
 * @param duration from its start to its end
 * @param requestClosed whether the request has its final response
 * @param load the load that the worker reported with the response
 */
public record AttemptResult(
    int request,
    int attempt,
    int worker,
    AttemptOutcome outcome,
    Duration duration,
    boolean requestClosed,
    LoadReport load) {}
