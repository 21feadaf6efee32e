package switchgap.planner;

import java.util.List;

/**
 * The router's report of its pending loads to the planner. Each report is a full snapshot, so that
 * the next one replaces one that was lost.
 *
 * @param epoch number of the connection between router and planner; a plan with another epoch is
 *     rejected
 * @param sequence number of the report, which increases within an epoch
 * @param waiting the pending loads
 */
public record LoadBacklog(long epoch, long sequence, List<PendingLoad> waiting)
    implements PlannerMessage {}
