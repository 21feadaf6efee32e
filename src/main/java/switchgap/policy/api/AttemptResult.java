package switchgap.policy.api;

import java.time.Duration;

/**
 * The result of an attempt.
 *
 * @param attempt number of the attempt, from 0 for each request
 * @param request index of the request
 * @param worker index of the worker
 * @param outcome how the attempt ended
 * @param duration time from the start of the attempt to its end
 * @param requestClosed whether the request needs no further response: it was answered, cancelled or
 *     missed its deadline
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
