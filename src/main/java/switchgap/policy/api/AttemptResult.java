package switchgap.policy.api;

import java.time.Duration;

/**
 * How an attempt ended.
 *
 * @param attempt its number, from 0 for each request
 * @param duration from its start to its end
 * @param requestClosed whether the request has its final response
 * @param load what the worker reported with it
 */
public record AttemptResult(
    int request,
    int attempt,
    int worker,
    AttemptOutcome outcome,
    Duration duration,
    boolean requestClosed,
    LoadReport load) {}
