package switchgap.policy.api;

import java.time.Duration;

/** The configuration of a router, immutable from its start. Indices count from 0. */
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

  /** Latency up to which a response of the class earns its full weight. */
  Duration latencyObjective(int requestClass);

  /** Timeout of the class's requests. */
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

  /** Priority weight that a response of the class earns within the latency objective. */
  double priorityWeight(int requestClass);

  /** Share of the weight that a response past the latency objective still earns. */
  double lateValueShare(int requestClass);

  /** Whether requests of the class may be executed more than once. */
  Idempotency idempotency(int requestClass);

  /** Workers among which repeats with the same idempotency key are dropped. */
  DeduplicationScope deduplicationScope(int requestClass);

  /** Time for which workers remember an idempotency key. */
  Duration deduplicationWindow(int requestClass);

  /** Number of tenants. */
  int tenantCount();

  /** Requests a second within the tenant's quota, all routers together. */
  double tenantQuota(int tenant);

  /** Share of the weight that a request beyond its tenant's quota earns. */
  double overQuotaWeight();

  /** Maximum number of attempts of a request. */
  int maxAttempts();

  /** Whether a hedged attempt may run beside the first. */
  boolean hedgingAllowed();

  /** Whether load probes are allowed. */
  boolean probesAllowed();

  /** Whether an attempt in flight may be cancelled. */
  boolean cancellationAllowed();

  /** Whether a rejection may carry a retry delay. */
  boolean retryAfterAllowed();

  /** The longest retry delay of a rejection. */
  Duration maxRetryAfter();

  /**
   * Time after the notification that a worker drains or is gone in which attempts and load commands
   * to it must cease; zero where none is stated.
   */
  Duration drainGrace();

  /** Share of its capacity that a worker has at its start. */
  double slowStartCapacityShare();

  /** Time after its start in which a worker's capacity rises to the full one. */
  Duration warmUpDuration();

  /** Multiple of its present capacity at which a worker that warms up is overloaded. */
  double slowStartOverloadMultiple();

  /** Time over which requests are counted against that multiple. */
  Duration slowStartOverloadWindow();

  /** Whether a worker without a replica loads it on demand instead of rejecting the request. */
  boolean loadsOnDemand();

  /** Whether load commands are allowed. */
  boolean loadCommandsAllowed();

  /** Time without a request after which a worker unloads a replica. */
  Duration replicaIdleTimeout();

  /** Load commands allowed in each quota window regardless of requests. */
  double loadQuotaBase();

  /** Further load commands allowed for each request in the window. */
  double loadQuotaPerRequest();

  /** The window of the load quota; zero for no quota. */
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
