package switchgap.config;

import java.time.Duration;
import java.util.Map;

/**
 * Reads the settings of workers from a property tree: kinds of worker, slow start, replicas and
 * endpoint list.
 */
abstract class PropertyWorkerSettings extends PropertyRequestSettings {
  private static final String CAPACITY_REPORTS = "Weights";
  private static final String ENDPOINT_DISCOVERY = "Discovery";
  private static final String DRAIN_GRACE = "Guarantees.DrainGraceUs";
  private static final String SLOW_START_CAPACITY_SHARE = "Guarantees.ColdFrom";
  private static final String SLOW_START_DURATION = "Guarantees.ColdUs";
  private static final String SLOW_START_OVERLOAD_MULTIPLE = "Guarantees.FallMultiple";
  private static final String SLOW_START_OVERLOAD_WINDOW = "Guarantees.OverloadForUs";
  private static final String ENDPOINT_POLL_INTERVAL = "Guarantees.AskWithinUs";
  private static final String LOADS_ON_DEMAND = "Extra.IfCold";
  private static final String LOAD_COMMANDS_ALLOWED = "Extra.PlacementCalls";
  private static final String REPLICA_IDLE_TIMEOUT = "Extra.IdleLifeUs";
  private static final String LOAD_QUOTA_BASE = "Extra.LoadFree";
  private static final String LOAD_QUOTA_PER_REQUEST = "Extra.LoadRatio";
  private static final String LOAD_QUOTA_WINDOW = "Extra.LoadSpanUs";
  private static final String IDLE_MEMORY_PRICE = "Extra.MemoryPrice";
  private static final String WORKER_KIND_MEMORY = "Extra.MachineMb";
  private static final Map<String, Boolean> LOADS_ON_DEMAND_WORDS =
      Map.of("load", true, "miss", false);

  /**
   * Whether a word means that the endpoint list reports constant capacities of workers. Capacities
   * that change, for which the word is {@code live}, are treated like capacities that are not
   * reported.
   */
  private static final Map<String, Boolean> CAPACITY_REPORT_WORDS =
      Map.of("silent", false, "nominal", true, "rough", true, "live", false);

  private static final Map<String, Boolean> ENDPOINT_DISCOVERY_WORDS =
      Map.of("subscribe", true, "automatic", false);

  private final PropertyValues values;

  PropertyWorkerSettings(PropertyValues values) {
    super(values);
    this.values = values;
  }

  @Override
  public Duration drainGrace() {
    return values.optionalDuration(DRAIN_GRACE);
  }

  @Override
  public double slowStartCapacityShare() {
    return values.number(SLOW_START_CAPACITY_SHARE);
  }

  @Override
  public Duration warmUpDuration() {
    return values.duration(SLOW_START_DURATION);
  }

  @Override
  public double slowStartOverloadMultiple() {
    return values.number(SLOW_START_OVERLOAD_MULTIPLE);
  }

  @Override
  public Duration slowStartOverloadWindow() {
    return values.duration(SLOW_START_OVERLOAD_WINDOW);
  }

  @Override
  public boolean loadsOnDemand() {
    return values.choice(LOADS_ON_DEMAND, LOADS_ON_DEMAND_WORDS);
  }

  @Override
  public boolean loadCommandsAllowed() {
    return values.flag(LOAD_COMMANDS_ALLOWED);
  }

  @Override
  public Duration replicaIdleTimeout() {
    return values.duration(REPLICA_IDLE_TIMEOUT);
  }

  @Override
  public double loadQuotaBase() {
    return values.number(LOAD_QUOTA_BASE);
  }

  @Override
  public double loadQuotaPerRequest() {
    return values.number(LOAD_QUOTA_PER_REQUEST);
  }

  @Override
  public Duration loadQuotaWindow() {
    return values.duration(LOAD_QUOTA_WINDOW);
  }

  @Override
  public double idleMemoryPrice() {
    return values.optionalNumber(IDLE_MEMORY_PRICE);
  }

  @Override
  public double[] workerKindMemory() {
    return values.numbers(WORKER_KIND_MEMORY);
  }

  @Override
  public boolean capacityReported() {
    return values.choice(CAPACITY_REPORTS, CAPACITY_REPORT_WORDS);
  }

  @Override
  public boolean pollsEndpointList() {
    return values.choice(ENDPOINT_DISCOVERY, ENDPOINT_DISCOVERY_WORDS);
  }

  @Override
  public Duration endpointPollInterval() {
    return values.duration(ENDPOINT_POLL_INTERVAL);
  }
}
