package switchgap.policy.api;

import java.time.Duration;

/**
 * How a command to load replicas, or a query for them, ended, with the number of replicas that are
 * loaded.
 */
public record LoadCommandResult(
    int worker, int function, AttemptOutcome outcome, Duration duration, int loadedReplicas) {}
