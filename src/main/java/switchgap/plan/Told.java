package switchgap.plan;

import java.util.List;

/**
 * What the edge tells its planner: all that waits, whole each time, so that a lost one is made up for by the next.
 *
 * @param epoch of the edge and this link; a plan for another is refused
 * @param seq   counts up in an epoch
 */
public record Told(long epoch, long seq, List<Wish> waiting) { }
