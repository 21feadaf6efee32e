package switchgap.planner;

/**
 * The planner's response to a backlog: the loads that the router may release now.
 *
 * @param epoch epoch of the backlog
 * @param sequence sequence number of the backlog
 * @param ids ids of the loads, in the order in which they must be released
 */
public record LoadPlan(long epoch, long sequence, long[] ids) implements PlannerMessage {}
