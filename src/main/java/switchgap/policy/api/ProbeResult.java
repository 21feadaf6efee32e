package switchgap.policy.api;

/** How a probe of a worker's load ended, with what the worker reported. */
public record ProbeResult(int worker, AttemptOutcome outcome, LoadReport load) {}
