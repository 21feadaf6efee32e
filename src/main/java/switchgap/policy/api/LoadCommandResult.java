package switchgap.policy.api;

import java.time.Duration;

/** The result of a load command or replica query, with the number of replicas that are loaded. */
public record LoadCommandResult(
    int worker, int function, AttemptOutcome outcome, Duration duration, int loadedReplicas) {}
