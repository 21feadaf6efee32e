package switchgap.planner;

/**
 * Counts of released loads, and of ids in plans that had no effect, since the queue was created.
 *
 * @param planned loads that were released by a plan
 * @param timedOut loads that were released after their timeout, without a plan
 * @param stale ids in plans for loads that were no longer pending
 * @param rejected ids in plans for loads that never existed, plus plans with another epoch
 */
public record LoadPlanCounts(long planned, long timedOut, long stale, long rejected) {}
