package switchgap.policy.api;

import java.time.Duration;

/** What the operator states at a router's start. */
public interface RouterSettings {
    int routerIndex();

    int routerCount();

    int zone();

    Duration tickInterval();

    int requestClassCount();

    Duration latencyObjective(int workload);

    Duration requestTimeout(int workload);

    /** The longest of all workloads' time limits. */
    default Duration longestTimeout() {
        Duration most = Duration.ZERO;
        for (int w = 0; w < requestClassCount(); w++) { most = most.compareTo(requestTimeout(w)) < 0 ? requestTimeout(w) : most; }
        return most;
    }

    double priorityWeight(int workload);

    /** The share of the importance that an answer after the start target still earns. */
    double lateValueShare(int workload);

    Idempotency idempotency(int workload);

    DeduplicationScope deduplicationScope(int workload);

    Duration deduplicationWindow(int workload);

    int tenantCount();

    /** Jobs a second within the customer's share, all routers together. */
    double tenantQuota(int customer);

    double overQuotaWeight();

    int maxAttempts();

    boolean hedgingAllowed();

    boolean probesAllowed();

    boolean cancellationAllowed();

    boolean retryAfterAllowed();

    Duration maxRetryAfter();

    double coldCapacityShare();

    Duration warmUpDuration();

    double coldOverloadMultiple();

    Duration coldOverloadWindow();

    boolean loadsOnDemand();

    boolean loadCommandsAllowed();

    Duration replicaIdleTimeout();

    double loadQuotaBase();

    double loadQuotaPerRequest();

    Duration loadQuotaWindow();

    double idleMemoryPrice();

    /** Memory of each kind of worker, in MB. */
    double[] workerKindMemory();

    double crossZonePrice();

    /** Of a probe, in a job's worth. */
    double probePrice();

    /** Whether the list tells sizes that stay as they are and can be compared. */
    boolean capacityReported();

    /** Whether the list must be asked for, and how often at the least. */
    boolean pollsEndpointList();

    Duration endpointPollInterval();
}
