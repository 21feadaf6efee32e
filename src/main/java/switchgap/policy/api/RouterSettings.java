package switchgap.policy.api;

import java.time.Duration;

/** What the operator states at a router's start. */
public interface RouterSettings {
    int self();

    int routers();

    int zone();

    Duration tick();

    int workloads();

    Duration startTarget(int workload);

    Duration timeLimit(int workload);

    /** The longest of all workloads' time limits. */
    default Duration longestLimit() {
        Duration most = Duration.ZERO;
        for (int w = 0; w < workloads(); w++) { most = most.compareTo(timeLimit(w)) < 0 ? timeLimit(w) : most; }
        return most;
    }

    double importance(int workload);

    /** The share of the importance that an answer after the start target still earns. */
    double lateShare(int workload);

    Idempotency repeat(int workload);

    DeduplicationScope group(int workload);

    Duration memorySpan(int workload);

    int customers();

    /** Jobs a second within the customer's share, all routers together. */
    double customerRate(int customer);

    double overShareWorth();

    int mostExecutions();

    boolean secondExecutions();

    boolean mayProbe();

    boolean mayCancel();

    boolean tellsComeBack();

    Duration mostComeBack();

    double coldShare();

    Duration coldSpan();

    double fallMultiple();

    Duration fallSpan();

    boolean loadsOnMiss();

    boolean mayOrder();

    Duration keepAlive();

    double loadsFree();

    double loadsShare();

    Duration loadsSpan();

    double memoryPrice();

    /** Memory of each kind of worker, in MB. */
    double[] kindMemory();

    double crossingPrice();

    /** Of a probe, in a job's worth. */
    double probePrice();

    /** Whether the list tells sizes that stay as they are and can be compared. */
    boolean sizesTold();

    /** Whether the list must be asked for, and how often at the least. */
    boolean asksForList();

    Duration askWithin();
}
