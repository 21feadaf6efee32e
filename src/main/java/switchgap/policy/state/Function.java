package switchgap.policy.state;

import java.time.Duration;

/** A function: its copy target, its workers in hash order and what is believed of its copies. */
public final class Function {
    public final int id;
    public final long hash;
    public final Histogram concurrency;
    public int slots = 1;
    public double memoryMb;
    public int targetReplicas = 1;
    public Worker[] workersByHash = {};
    public int hashOrderVersion = -1;
    public int openRequests;
    public int pendingCommands;
    public int recentArrivals;
    public int totalRequests;
    /** Whether a copy of it was ever seen to stand. */
    public boolean everLoaded;
    /** Orders that failed while it was not, and when the last one did. */
    public int failedLoads;
    public Duration lastLoadFailure;
    public int saturatedArrivals;
    public Duration lastRequest;
    public Duration lastBusy;
    private final IndexedTable<Replica> copies = new IndexedTable<>();

    public Function(int id, long mark, double[] crowdEdges) {
        this.id = id;
        this.hash = mark;
        this.concurrency = new Histogram(crowdEdges);
    }

    public Replica replicaAt(Worker w) {
        Replica c = copies.get(w.id);
        if (c == null) {
            c = copies.set(w.id, new Replica());
            c.state = w.presumedEmpty ? Replica.State.ABSENT : Replica.State.UNKNOWN;
        }
        return c;
    }

    public void forget(int worker) {
        copies.set(worker, null);
    }
}
