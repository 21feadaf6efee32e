package switchgap.policy.api;

import java.time.Duration;

/** What the operators state at a router's start. Immutable; indices count from 0. */
public interface RouterSettings {
  /** Index of this router among all. */
  int routerIndex();

  /** Number of routers. */
  int routerCount();

  /** Index of this router's zone. */
  int zone();

  /** Shortest time between two wake-ups. */
  Duration tickInterval();

  /** Number of request classes. */
  int requestClassCount();

  /** Time within which a response of the class earns its whole weight. */
  Duration latencyObjective(int requestClass);

  /** Time after which a response of the class is owed no more. */
  Duration requestTimeout(int requestClass);

  /** The longest timeout of all classes. */
  default Duration longestTimeout() {
    Duration longest = Duration.ZERO;
    for (int requestClass = 0; requestClass < requestClassCount(); requestClass++) {
      Duration timeout = requestTimeout(requestClass);
      longest = longest.compareTo(timeout) < 0 ? timeout : longest;
    }
    return longest;
  }

  /** What a response of the class in time is worth. */
  double priorityWeight(int requestClass);

  /** Share of the weight that a response past the latency objective still earns. */
  double lateValueShare(int requestClass);

  /** Whether requests of the class may be executed more than once. */
  Idempotency idempotency(int requestClass);

  /** Workers among which a repeat with the same idempotency key is dropped. */
  DeduplicationScope deduplicationScope(int requestClass);

  /** Time for which workers know an idempotency key. */
  Duration deduplicationWindow(int requestClass);

  /** Number of tenants. */
  int tenantCount();

  /** Requests a second within the tenant's quota, all routers together. */
  double tenantQuota(int tenant);

  /** Share of the weight that a request beyond its tenant's quota earns. */
  double overQuotaWeight();

  /** Attempts a request may have. */
  int maxAttempts();

  /** Whether a second attempt may run beside the first. */
  boolean hedgingAllowed();

  /** Whether workers may be asked for their load. */
  boolean probesAllowed();

  /** Whether an attempt in flight may be cancelled. */
  boolean cancellationAllowed();

  /** Whether a rejection may say when to retry. */
  boolean retryAfterAllowed();

  /** The longest time that a rejection may ask a client to wait. */
  Duration maxRetryAfter();

  /** Share of its capacity that a worker has at its start. */
  double coldCapacityShare();

  /** Time after its start in which a worker's capacity rises to the whole. */
  Duration warmUpDuration();

  /** Multiple of its capacity at which a worker that warms up falls over. */
  double coldOverloadMultiple();

  /** Time over which that multiple is counted. */
  Duration coldOverloadWindow();

  /** Whether a worker without a replica loads it on demand, rather than refusing the request. */
  boolean loadsOnDemand();

  /** Whether load commands are allowed. */
  boolean loadCommandsAllowed();

  /** Time without a request after which a worker unloads a replica. */
  Duration replicaIdleTimeout();

  /** Load commands allowed in each quota window without any request. */
  double loadQuotaBase();

  /** Further load commands allowed for each request in the window. */
  double loadQuotaPerRequest();

  /** The window over which load commands are counted; zero for no quota. */
  Duration loadQuotaWindow();

  /** Price of idle memory. */
  double idleMemoryPrice();

  /** Memory of each kind of worker, in MB. */
  double[] workerKindMemory();

  /** Price of an attempt in another zone, as a share of a request's weight. */
  double crossZonePrice();

  /** Price of a probe, as a share of a request's weight. */
  double probePrice();

  /** Whether the endpoint list reports capacities that stay as they are and can be compared. */
  boolean capacityReported();

  /** Whether the endpoint list must be polled. */
  boolean pollsEndpointList();

  /** The longest time between two polls. */
  Duration endpointPollInterval();
}
