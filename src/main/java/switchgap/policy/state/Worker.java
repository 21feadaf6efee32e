package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import switchgap.policy.api.WorkerState;

/** A worker: what the list says of it and what this router has seen of it. */
public final class Worker {
    public final int id;
    public final long hash;
    public final Histogram latencyRatios;
    public final Histogram errors;
    public final Histogram relativeDurations;
    public final SlidingWindow sendsWhileCold = new SlidingWindow();
    public WorkerState state = WorkerState.GONE;
    public boolean listed;
    public boolean presumedEmpty;
    public int zone;
    public int cell;
    public double memoryMb;
    public double hashWeight;
    public Duration startedAt;
    public int inFlight;
    public final List<Request> awaitingProbe = new ArrayList<>();
    public int queuedAhead;
    public int waitingForLoad;
    public int pendingCommands;
    public int ejectionCount;
    public boolean onProbation;
    public Duration ejectedUntil;
    /** When it last answered anything. */
    public Duration lastResponse = Duration.ZERO;
    public double foreignLoad;
    public double cpuUtilization = 1;
    public Duration lastReport;
    public double latencyRatio = 1;

    public Worker(int id, long mark, double[] slowEdges, double[] badEdges, double[] tookEdges) {
        this.id = id;
        this.hash = mark;
        this.latencyRatios = new Histogram(slowEdges);
        this.errors = new Histogram(badEdges);
        this.relativeDurations = new Histogram(tookEdges);
    }
}
