package switchgap.policy.api;

import java.time.Duration;

/**
 * The result of a load command or a replica query.
 *
 * @param worker index of the worker
 * @param function index of the function
 * @param outcome how the command ended
 * @param duration time from the start of the command to its end
 * @param loadedReplicas number of replicas of the function that the worker has loaded
 */
public record LoadCommandResult(
    int worker, int function, AttemptOutcome outcome, Duration duration, int loadedReplicas) {}
