package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/** A workload as stated, and how long its executions usually take, as a share of the start target. */
public final class RequestClass {
    public final Duration latencyObjective;
    public final Duration deduplicationWindow;
    public final double priorityWeight;
    public final double lateValueShare;
    public final Idempotency idempotency;
    public final DeduplicationScope deduplicationScope;
    public final Histogram relativeDurations;
    public final Histogram foreignLoads;

    public RequestClass(RouterSettings t, int index, double[] tookEdges, double[] metEdges) {
        latencyObjective = t.latencyObjective(index);
        deduplicationWindow = t.deduplicationWindow(index);
        priorityWeight = t.priorityWeight(index);
        lateValueShare = t.lateValueShare(index);
        idempotency = t.idempotency(index);
        deduplicationScope = t.deduplicationScope(index);
        foreignLoads = new Histogram(metEdges);
        relativeDurations = new Histogram(tookEdges);
    }
}
