package switchgap.policy.state;

import java.time.Duration;

/** A function: its copy target, its workers in hash order and what is believed of its copies. */
public final class Function {
    public final int id;
    public final long mark;
    public final Histogram crowd;
    public int lanes = 1;
    public double size;
    public int target = 1;
    public Worker[] order = {};
    public int orderOf = -1;
    public int open;
    public int orders;
    public int came;
    public int jobs;
    /** Whether a copy of it was ever seen to stand. */
    public boolean stood;
    /** Orders that failed while it was not, and when the last one did. */
    public int failedOrders;
    public Duration orderFailed;
    public int pressed;
    public Duration used;
    public Duration busySince;
    private final IndexedTable<Replica> copies = new IndexedTable<>();

    public Function(int id, long mark, double[] crowdEdges) {
        this.id = id;
        this.mark = mark;
        this.crowd = new Histogram(crowdEdges);
    }

    public Replica at(Worker w) {
        Replica c = copies.get(w.id);
        if (c == null) {
            c = copies.set(w.id, new Replica());
            c.belief = w.empty ? Replica.ReplicaState.ABSENT : Replica.ReplicaState.UNKNOWN;
        }
        return c;
    }

    public void forget(int worker) {
        copies.set(worker, null);
    }
}
