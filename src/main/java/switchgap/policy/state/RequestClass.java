package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/** A workload as stated, and how long its executions usually take, as a share of the start target. */
public final class RequestClass {
    public final Duration target;
    public final Duration memory;
    public final double value;
    public final double late;
    public final Idempotency repeat;
    public final DeduplicationScope group;
    public final Histogram took;
    public final Histogram met;

    public RequestClass(RouterSettings t, int index, double[] tookEdges, double[] metEdges) {
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
