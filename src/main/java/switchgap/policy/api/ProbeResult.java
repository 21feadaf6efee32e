package switchgap.policy.api;

/** The result of a load probe, with what the worker reported. */
public record ProbeResult(int worker, AttemptOutcome outcome, LoadReport load) {}
