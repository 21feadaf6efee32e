package switchgap.policy.api;

/**
 * The result of a load probe.
 *
 * @param worker index of the worker
 * @param outcome how the probe ended
 * @param load the load that the worker reported, {@link LoadReport#NONE} if none
 */
public record ProbeResult(int worker, AttemptOutcome outcome, LoadReport load) {}
