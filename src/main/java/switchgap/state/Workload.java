package switchgap.state;

import java.time.Duration;
import switchgap.port.Group;
import switchgap.port.Repeat;
import switchgap.port.Terms;

/** A workload as stated, and how long its executions usually take, as a share of the start target. */
public final class Workload {
    public final Duration target;
    public final Duration memory;
    public final double value;
    public final double late;
    public final Repeat repeat;
    public final Group group;
    public final Histogram took;
    public final Histogram met;

    public Workload(Terms t, int index, double[] tookEdges, double[] metEdges) {
        target = t.startTarget(index);
        memory = t.memorySpan(index);
        value = t.importance(index);
        late = t.lateShare(index);
        repeat = t.repeat(index);
        group = t.group(index);
        met = new Histogram(metEdges);
        took = new Histogram(tookEdges);
    }
}
