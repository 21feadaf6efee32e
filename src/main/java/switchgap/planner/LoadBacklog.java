package switchgap.planner;

import java.util.List;

/**
 * The edge's report to its planner: a full snapshot of the pending loads each time, so that the
 * next one makes up for a lost one.
 *
 * @param epoch of the edge's connection to the planner; a plan for another epoch is rejected
 * @param sequence counts up within an epoch
 * @param waiting the pending loads
 */
public record LoadBacklog(long epoch, long sequence, List<PendingLoad> waiting)
    implements PlannerMessage {}
