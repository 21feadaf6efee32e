package switchgap.planner;

import java.util.List;

/**
 * What the edge reports to its planner: all pending loads, whole each time, so that a lost report
 * is made up for by the next.
 *
 * @param epoch of the edge's connection to the planner; a plan for another epoch is rejected
 * @param sequence counts up within an epoch
 * @param waiting the pending loads
 */
public record LoadBacklog(long epoch, long sequence, List<PendingLoad> waiting) {}
