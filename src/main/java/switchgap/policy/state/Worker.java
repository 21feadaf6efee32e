package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import switchgap.policy.api.WorkerState;

/** A worker: what the list says of it and what this router has seen of it. */
public final class Worker {
    public final int id;
    public final long mark;
    public final Histogram slow;
    public final Histogram bad;
    public final Histogram took;
    public final SlidingWindow coldSends = new SlidingWindow();
    public WorkerState standing = WorkerState.GONE;
    public boolean named;
    public boolean empty;
    public int zone;
    public int cell;
    public double memory;
    public double weight;
    public Duration started;
    public int flying;
    public final List<Request> looks = new ArrayList<>();
    public int ahead;
    public int loading;
    public int orders;
    public int strikes;
    public boolean onTrial;
    public Duration shunned;
    /** When it last answered anything. */
    public Duration heard = Duration.ZERO;
    public double others;
    public double busy = 1;
    public Duration reported;
    public double slowness = 1;

    public Worker(int id, long mark, double[] slowEdges, double[] badEdges, double[] tookEdges) {
        this.id = id;
        this.mark = mark;
        this.slow = new Histogram(slowEdges);
        this.bad = new Histogram(badEdges);
        this.took = new Histogram(tookEdges);
    }
}
