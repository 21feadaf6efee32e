package switchgap.planner;

/**
 * What became of the loads that waited for the planner, and of the parts of its plans, since the
 * queue was created.
 *
 * @param planned loads released by a plan
 * @param timedOut loads released without a plan, as their timeout was over
 * @param stale parts of plans that named loads which were no longer pending
 * @param rejected parts of plans that named loads which never existed, and plans for another epoch
 */
public record LoadPlanCounts(long planned, long timedOut, long stale, long rejected) {}
