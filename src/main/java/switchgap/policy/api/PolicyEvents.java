package switchgap.policy.api;

import java.time.Duration;

/**
 * What a router hears, one call an event. Ids are small indices that the caller assigns and may hand out
 * again once {@link PolicyActions} has forgotten them; times are spans since the router's start. Values that
 * did not come are null, NaN or, for counts, below zero.
 */
public interface PolicyEvents {
    /** A list of workers begins; a whole one replaces what was held. Its entries follow, then its end. */
    void endpointListStarted(boolean whole);

    /** One worker; {@code mark} is its id as all routers see it, {@code started} null if long past. */
    void endpointListed(int worker, long mark, WorkerState standing, int zone, int cell, int kind, double size,
                Duration started);

    void endpointListEnded();

    void endpointListFailed();

    /** A job was taken: it is owed one final answer before {@code limit}. */
    void requestArrived(int job, int workload, int customer, int function, long mark, Duration limit, Duration hint,
             double memory, int lanes, Duration load, boolean repeat);

    void responseStarted(int job, int execution);

    /** An execution ended; {@code closed} if the job has its answer. {@code crowd}: jobs met there. */
    void attemptEnded(int job, int execution, int worker, AttemptOutcome end, Duration took, boolean closed, int crowd,
               double busy, double held, double queued);

    /** The client left; nothing more is owed. */
    void clientLeft(int job);

    void wakeUp(long token);

    void probeEnded(int worker, AttemptOutcome end, Duration took, double busy, double held, double queued);

    /** An order to hold copies ended, with the number that stand. */
    void loadCommandEnded(int worker, int function, AttemptOutcome end, Duration took, int standing);
}
