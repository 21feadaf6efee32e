package switchgap.planner;

/**
 * A load command that the routing policy has requested and that is not yet sent to the worker.
 *
 * @param id number of the load, assigned by the router and unique within an epoch
 * @param worker name of the worker that will load the function
 * @param function name of the function
 * @param memoryMb memory of a replica of the function, in MB; 0 if unknown
 * @param loadMicros configured load time of the function, in microseconds; 0 if unknown
 * @param priorityWeight sum of the priority weights of the requests that wait for the function
 * @param ageMicros time since the load was requested, in microseconds
 */
public record PendingLoad(
    long id,
    String worker,
    String function,
    double memoryMb,
    long loadMicros,
    double priorityWeight,
    long ageMicros) {}
