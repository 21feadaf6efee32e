package switchgap.planner;

/**
 * A load that the edge's module asks for and that has not gone out.
 *
 * @param id         the edge's number for it, never used twice in an epoch
 * @param load       its usual load time, microseconds; 0 where not told
 * @param importance of the calls that wait for the function
 * @param age        since it was asked for, microseconds
 */
public record PendingLoad(long id, String worker, String function, double memoryMb, long loadMicros,
    double priorityWeight, long ageMicros) {}
