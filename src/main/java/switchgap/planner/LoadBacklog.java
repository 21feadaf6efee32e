package switchgap.planner;

import java.util.List;

/**
 * What the edge tells its planner: all that waits, whole each time, so that a lost one is made up for by the next.
 *
 * @param epoch of the edge and this link; a plan for another is refused
 * @param seq   counts up in an epoch
 */
public record LoadBacklog(long epoch, long sequence, List<PendingLoad> waiting) {}
