package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A job taken and what has become of it. */
public final class Request {
    public final int id;
    public final RequestClass requestClass;
    public final Function function;
    public final Duration arrivedAt;
    public final Duration deadline;
    public final Duration durationHint;
    public final List<Attempt> attempts = new ArrayList<>(2);
    public final BitSet failedWorkers = new BitSet();
    /** Where it erred last before its function was seen to stand anywhere. */
    public Worker suspectWorker;
    public double weight;
    public double capacityDraw;
    public int inFlight;
    public int possibleExecutions;
    public Worker firstWorker;
    public Duration firstSentAt;
    public boolean closed;
    public Duration probeDeadline;
    public int pendingProbes;
    public boolean queued;

    public Request(int id, RequestClass of, Function function, Duration arrived, Duration limit,
               Duration hint) {
        this.id = id;
        this.requestClass = of;
        this.function = function;
        this.arrivedAt = arrived;
        this.deadline = limit;
        this.durationHint = hint;
    }
}
