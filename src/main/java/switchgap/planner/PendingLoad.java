package switchgap.planner;

/**
 * A load command that the edge's router has requested and that is not yet released to the worker.
 *
 * @param id the edge's number for it, never used twice in an epoch
 * @param worker name of the worker that is to load the function
 * @param function name of the function
 * @param memoryMb memory that a replica of the function takes, megabytes; 0 where unknown
 * @param loadMicros usual load time, microseconds; 0 where unknown
 * @param priorityWeight of all requests that wait for the function
 * @param ageMicros time since the load was requested, microseconds
 */
public record PendingLoad(
    long id,
    String worker,
    String function,
    double memoryMb,
    long loadMicros,
    double priorityWeight,
    long ageMicros) {}
