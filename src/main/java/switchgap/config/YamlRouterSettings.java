package switchgap.config;

import java.time.Duration;
import java.util.List;
import switchgap.admission.AdmissionSettings;
import switchgap.admission.ServiceLevel;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/**
 * The settings that a YAML document states, with its functions, request classes, tenants and zones
 * by name. What the document leaves out is taken as absent (no quota, no prices), never guessed.
 * Immutable.
 */
public final class YamlRouterSettings implements RouterSettings {
  /** The only zone where the document names none. */
  private static final List<String> DEFAULT_ZONES = List.of("zone");

  private final List<String> zones;
  private final RouterSection router;
  private final WorkerKindsSection workerKinds;
  private final RequestClassesSection requestClasses;
  private final TenantsSection tenants;
  private final FunctionsSection functions;
  private final WorkersSection workers;
  private final RulesSection rules;
  private final LevelsSection levels;
  private final PricesSection prices;

  /**
   * Reads the sections {@code zones, router, kinds, workloads, customers, functions, workers,
   * rules, levels, prices} in this order; other keys of the document are left to the caller.
   *
   * @throws InvalidConfigException at the first mistake
   */
  public YamlRouterSettings(YamlDocument document) {
    zones = document.has("zones") ? document.textList("zones") : DEFAULT_ZONES;
    router = RouterSection.read(document.section("router"), zones);
    workerKinds = WorkerKindsSection.read(document.optionalSection("kinds"));
    requestClasses = RequestClassesSection.read(document);
    tenants = TenantsSection.read(document.optionalSection("customers"));
    functions = FunctionsSection.read(document.section("functions"), requestClasses, tenants);
    workers = WorkersSection.read(document.optionalSection("workers"));
    rules = RulesSection.read(document.optionalSection("rules"));
    levels = LevelsSection.read(document.optionalSection("levels"), requestClasses);
    prices = PricesSection.read(document.optionalSection("prices"));
  }

  /**
   * The entry of a function, or null: exact names first, then prefixes in the order of the
   * document.
   */
  public FunctionSettings function(String name) {
    return functions.find(name);
  }

  /** The request class of an index. */
  public RequestClassSettings requestClass(int requestClass) {
    return requestClasses.classes().get(requestClass);
  }

  /** The index of a request class, or -1. */
  public int requestClassIndex(String name) {
    return requestClasses.index(name);
  }

  /** The index of a tenant, or -1. */
  public int tenantIndex(String name) {
    return tenants.index(name);
  }

  /** The name of a tenant's index. */
  public String tenantName(int tenant) {
    return tenants.names().get(tenant);
  }

  /** The index of a zone, or -1. */
  public int zoneIndex(String name) {
    return zones.indexOf(name);
  }

  /** The name of a zone's index. */
  public String zoneName(int zone) {
    return zones.get(zone);
  }

  /** The index of a kind of worker; one past the known ones where it is not known. */
  public int workerKindIndex(String name) {
    return workerKinds.index(name);
  }

  /** What the document states for degraded service levels. */
  public AdmissionSettings admissionSettings() {
    int classCount = requestClassCount();
    double[] priorityWeights = new double[classCount];
    Idempotency[] idempotency = new Idempotency[classCount];
    Duration[] latencyObjectives = new Duration[classCount];
    for (int i = 0; i < classCount; i++) {
      priorityWeights[i] = priorityWeight(i);
      idempotency[i] = idempotency(i);
      latencyObjectives[i] = latencyObjective(i);
    }
    return new AdmissionSettings(
        priorityWeights,
        idempotency,
        latencyObjectives,
        tenants.quotaArray(),
        levels.exempt().clone(),
        levels.lowestLevel(),
        retryAfterAllowed() ? maxRetryAfter() : null,
        levels.protectedShare());
  }

  /** Whether service levels act at all. */
  public boolean admissionControlEnabled() {
    return levels.enabled();
  }

  /** The level that the document pins from the start on, or null. */
  public ServiceLevel pinnedLevel() {
    return levels.pinnedLevel();
  }

  /** How long from the start the pinned level is kept. */
  public Duration pinDuration() {
    return levels.pinDuration();
  }

  @Override
  public int routerIndex() {
    return router.routerIndex();
  }

  @Override
  public int routerCount() {
    return router.routerCount();
  }

  @Override
  public int zone() {
    return router.zone();
  }

  @Override
  public Duration tickInterval() {
    return router.tickInterval();
  }

  @Override
  public int requestClassCount() {
    return requestClasses.classes().size();
  }

  @Override
  public Duration latencyObjective(int requestClass) {
    return requestClass(requestClass).latencyObjective();
  }

  @Override
  public Duration requestTimeout(int requestClass) {
    return requestClass(requestClass).timeout();
  }

  @Override
  public double priorityWeight(int requestClass) {
    return requestClass(requestClass).priorityWeight();
  }

  @Override
  public double lateValueShare(int requestClass) {
    return requestClass(requestClass).lateValueShare();
  }

  @Override
  public Idempotency idempotency(int requestClass) {
    return requestClass(requestClass).idempotency();
  }

  @Override
  public DeduplicationScope deduplicationScope(int requestClass) {
    return requestClass(requestClass).deduplicationScope();
  }

  @Override
  public Duration deduplicationWindow(int requestClass) {
    return requestClass(requestClass).deduplicationWindow();
  }

  @Override
  public int tenantCount() {
    return tenants.names().size();
  }

  @Override
  public double tenantQuota(int tenant) {
    return tenants.quotas().get(tenant);
  }

  @Override
  public double overQuotaWeight() {
    return prices.overQuotaWeight();
  }

  @Override
  public int maxAttempts() {
    return router.maxAttempts();
  }

  @Override
  public boolean hedgingAllowed() {
    return router.permissions().hedging();
  }

  @Override
  public boolean probesAllowed() {
    return router.permissions().probes();
  }

  @Override
  public boolean cancellationAllowed() {
    return router.permissions().cancellation();
  }

  @Override
  public boolean retryAfterAllowed() {
    return !router.maxRetryAfter().isZero();
  }

  @Override
  public Duration maxRetryAfter() {
    return router.maxRetryAfter();
  }

  @Override
  public double coldCapacityShare() {
    return rules.warmUp().capacityShare();
  }

  @Override
  public Duration warmUpDuration() {
    return rules.warmUp().duration();
  }

  @Override
  public double coldOverloadMultiple() {
    return rules.warmUp().overloadMultiple();
  }

  @Override
  public Duration coldOverloadWindow() {
    return rules.warmUp().overloadWindow();
  }

  @Override
  public boolean loadsOnDemand() {
    return workers.loadsOnDemand();
  }

  @Override
  public boolean loadCommandsAllowed() {
    return workers.loadCommandsAllowed();
  }

  @Override
  public Duration replicaIdleTimeout() {
    return workers.replicaIdleTimeout();
  }

  @Override
  public double loadQuotaBase() {
    return rules.loadQuota().base();
  }

  @Override
  public double loadQuotaPerRequest() {
    return rules.loadQuota().perRequest();
  }

  @Override
  public Duration loadQuotaWindow() {
    return rules.loadQuota().window();
  }

  @Override
  public double idleMemoryPrice() {
    return prices.idleMemory();
  }

  @Override
  public double[] workerKindMemory() {
    return workerKinds.memoryMb().clone();
  }

  @Override
  public double crossZonePrice() {
    return prices.crossZone();
  }

  @Override
  public double probePrice() {
    return prices.probe();
  }

  @Override
  public boolean capacityReported() {
    return workers.capacityReported();
  }

  @Override
  public boolean pollsEndpointList() {
    return workers.pollsEndpointList();
  }

  @Override
  public Duration endpointPollInterval() {
    return workers.endpointPollInterval();
  }
}
