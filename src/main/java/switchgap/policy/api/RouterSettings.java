package switchgap.policy.api;

import java.time.Duration;

/** The settings of a router, which do not change while it runs. Indices start at 0. */
public interface RouterSettings {
  /** Index of this router among all routers. */
  int routerIndex();

  /** Number of routers. */
  int routerCount();

  /** Index of this router's zone. */
  int zone();

  /** Minimum time between two wake-ups. */
  Duration tickInterval();

  /** Number of request classes. */
  int requestClassCount();

  /** Latency up to which a response to a request of the class earns the full priority weight. */
  Duration latencyObjective(int requestClass);

  /** Timeout of requests of the class. */
  Duration requestTimeout(int requestClass);

  /** The shortest request timeout of all classes. */
  default Duration shortestTimeout() {
    Duration shortest = requestTimeout(0);
    for (int requestClass = 1; requestClass < requestClassCount(); requestClass++) {
      Duration timeout = requestTimeout(requestClass);
      shortest = timeout.compareTo(shortest) < 0 ? timeout : shortest;
    }
    return shortest;
  }

  /** The longest request timeout of all classes. */
  default Duration longestTimeout() {
    Duration longest = Duration.ZERO;
    for (int requestClass = 0; requestClass < requestClassCount(); requestClass++) {
      Duration timeout = requestTimeout(requestClass);
      longest = longest.compareTo(timeout) < 0 ? timeout : longest;
    }
    return longest;
  }

  /** Weight that a response to a request of the class earns within the latency objective. */
  double priorityWeight(int requestClass);

  /** Share of the weight that a response after the latency objective still earns. */
  double lateValueShare(int requestClass);

  /** Whether and where requests of the class may be executed more than once. */
  Idempotency idempotency(int requestClass);

  /** The set of workers within which repeats with the same idempotency key are dropped. */
  DeduplicationScope deduplicationScope(int requestClass);

  /** How long workers remember an idempotency key. */
  Duration deduplicationWindow(int requestClass);

  /** Number of tenants. */
  int tenantCount();

  /** The tenant's quota in requests per second at all routers together. */
  double tenantQuota(int tenant);

  /** Share of its weight that a request earns while its tenant is over quota. */
  double overQuotaWeight();

  /** Maximum number of attempts of a request. */
  int maxAttempts();

  /** Whether a hedged attempt may run concurrently with the first. */
  boolean hedgingAllowed();

  /** Whether load probes are allowed. */
  boolean probesAllowed();

  /** Whether attempts in flight may be cancelled. */
  boolean cancellationAllowed();

  /** Whether a rejection may carry a retry delay. */
  boolean retryAfterAllowed();

  /** Maximum retry delay that a rejection may carry. */
  Duration maxRetryAfter();

  /**
   * Time after the notification that a worker is draining or gone within which attempts and load
   * commands to it must cease; zero if not configured.
   */
  Duration drainGrace();

  /** Share of its full capacity that a worker has when its process starts. */
  double slowStartCapacityShare();

  /** Time from the start of a worker's process until it has its full capacity. */
  Duration warmUpDuration();

  /** Multiple of its current capacity above which a worker that is warming up is overloaded. */
  double slowStartOverloadMultiple();

  /** Window over which requests are counted against {@link #slowStartOverloadMultiple()}. */
  Duration slowStartOverloadWindow();

  /** Whether a worker without a replica loads it on demand instead of rejecting the request. */
  boolean loadsOnDemand();

  /** Whether load commands are allowed. */
  boolean loadCommandsAllowed();

  /** Time without a request after which a worker unloads a replica. */
  Duration replicaIdleTimeout();

  /** Load commands allowed per quota window regardless of the number of requests. */
  double loadQuotaBase();

  /** Additional load commands allowed per request in the window. */
  double loadQuotaPerRequest();

  /** Window of the load quota; zero if there is no quota. */
  Duration loadQuotaWindow();

  /** Price of the memory that idle replicas occupy; zero if it costs nothing. */
  double idleMemoryPrice();

  /** Memory of each kind of worker, in MB. */
  double[] workerKindMemory();

  /** Price of an attempt in another zone, as a share of a request's weight. */
  double crossZonePrice();

  /** Price of a probe, as a share of a request's weight. */
  double probePrice();

  /** Whether the endpoint list reports capacities that are constant and comparable. */
  boolean capacityReported();

  /** Whether the router has to poll the endpoint list. */
  boolean pollsEndpointList();

  /** Maximum time between two polls of the endpoint list. */
  Duration endpointPollInterval();
}
