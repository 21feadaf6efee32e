package switchgap.planner;

/**
 * A planner's response to a backlog: the loads that may be released now.
 *
 * @param epoch that of the backlog
 * @param sequence that of the backlog
 * @param ids of the loads, in the order in which they are to be released
 */
public record LoadPlan(long epoch, long sequence, long[] ids) implements PlannerMessage {}
