package switchgap.config;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/**
 * Router settings of values by path, as the platform's JSON and the simulator's lines state them. A
 * path that is not read is ignored; a needed one that is absent or can't be read is an {@link
 * IllegalArgumentException} that names it, thrown as it is read. Numbers of time are in
 * microseconds.
 */
public final class PropertyRouterSettings implements RouterSettings {
  private static final String ROUTER_INDEX = "Me";
  private static final String ROUTER_COUNT = "Balancers";
  private static final String ZONE = "MyZone";
  private static final String TICK_INTERVAL = "TickUs";
  private static final String OVER_QUOTA_WEIGHT = "OverShareWorth";
  private static final String CAPACITY_REPORTS = "Weights";
  private static final String ENDPOINT_DISCOVERY = "Discovery";

  private static final String REQUEST_CLASSES = "Lanes";
  private static final String LATENCY_OBJECTIVE = "AimUs";
  private static final String REQUEST_TIMEOUT = "DeadlineUs";
  private static final String PRIORITY_WEIGHT = "Worth";
  private static final String LATE_VALUE_SHARE = "LateValue";
  private static final String IDEMPOTENCY = "Effect";
  private static final String DEDUPLICATION_SCOPE = "Group";
  private static final String DEDUPLICATION_WINDOW = "MemorySpanUs";

  private static final String TENANTS = "Tenants";
  private static final String TENANT_QUOTA = "QuotaPerS";

  private static final String CONNECT_TIMEOUT = "Limits.DialTimeoutUs";
  private static final String CONNECTION_IDLE_TIMEOUT = "Limits.ConnIdleUs";
  private static final String ATTEMPTS_PER_CONNECTION = "Limits.Multiplex";
  private static final String MAX_PENDING_REQUESTS = "Limits.MaxOpen";
  private static final String MAX_ATTEMPTS = "Limits.MaxAttempts";
  private static final String HEDGING_ALLOWED = "Limits.SecondCopies";
  private static final String PROBES_ALLOWED = "Limits.Probes";
  private static final String CANCELLATION_ALLOWED = "Limits.Cancel";
  private static final String RETRY_AFTER_ALLOWED = "Limits.RetryAfter";
  private static final String MAX_RETRY_AFTER = "Limits.MaxRetryAfterUs";

  private static final String COLD_CAPACITY_SHARE = "Guarantees.ColdFrom";
  private static final String WARM_UP_DURATION = "Guarantees.ColdUs";
  private static final String COLD_OVERLOAD_MULTIPLE = "Guarantees.FallMultiple";
  private static final String COLD_OVERLOAD_WINDOW = "Guarantees.OverloadForUs";
  private static final String ENDPOINT_POLL_INTERVAL = "Guarantees.AskWithinUs";

  private static final String LOAD_COMMAND_TIMEOUT = "Extra.LoadWaitUs";
  private static final String LOADS_ON_DEMAND = "Extra.IfCold";
  private static final String LOAD_COMMANDS_ALLOWED = "Extra.PlacementCalls";
  private static final String REPLICA_IDLE_TIMEOUT = "Extra.IdleLifeUs";
  private static final String LOAD_QUOTA_BASE = "Extra.LoadFree";
  private static final String LOAD_QUOTA_PER_REQUEST = "Extra.LoadRatio";
  private static final String LOAD_QUOTA_WINDOW = "Extra.LoadSpanUs";
  private static final String IDLE_MEMORY_PRICE = "Extra.MemoryPrice";
  private static final String WORKER_KIND_MEMORY = "Extra.MachineMb";
  private static final String CONCURRENCY_REPORTED = "Extra.SaysCompany";

  private static final String PROBE_PRICE = "Costs.Probe";
  private static final String CROSS_ZONE_PRICE = "Costs.CrossZone";
  private static final String LOAD_REPORT_FIELDS = "Telemetry.Fields";

  private static final String COUNT = ".count";
  private static final String NAME = "Name";
  private static final int NANOS_PER_MICRO = 1000;

  private static final Map<String, Idempotency> IDEMPOTENCY_WORDS =
      Map.of(
          "retryable",
          Idempotency.IDEMPOTENT,
          "dedup",
          Idempotency.IDEMPOTENT_WITH_KEY,
          "fragile",
          Idempotency.NON_IDEMPOTENT);
  private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPE_WORDS =
      Map.of(
          "all",
          DeduplicationScope.ALL,
          "zone",
          DeduplicationScope.ZONE,
          "cell",
          DeduplicationScope.CELL);
  private static final Map<String, Boolean> LOADS_ON_DEMAND_WORDS =
      Map.of("load", true, "miss", false);

  /** Only capacities that stay as they are count as reported. */
  private static final Map<String, Boolean> CAPACITY_REPORT_WORDS =
      Map.of("silent", false, "nominal", true, "rough", true, "live", false);

  private static final Map<String, Boolean> ENDPOINT_DISCOVERY_WORDS =
      Map.of("subscribe", true, "automatic", false);

  private final Map<String, String> valuesByPath;

  /**
   * Settings of values by path.
   *
   * @param valuesByPath lists of plain values joined by commas, lists of objects as {@code .count},
   *     {@code .0} and so on, as {@link JsonDocument#flatten} makes them; not copied
   */
  public PropertyRouterSettings(Map<String, String> valuesByPath) {
    this.valuesByPath = valuesByPath;
  }

  /** Reads lines of the form path=value; lines of another form are ignored. */
  public static PropertyRouterSettings parse(String text) {
    Map<String, String> valuesByPath = new HashMap<>();
    for (String line : text.split("\n")) {
      int equalsSign = line.indexOf('=');
      if (equalsSign > 0) {
        valuesByPath.put(
            line.substring(0, equalsSign).trim(), line.substring(equalsSign + 1).trim());
      }
    }
    return new PropertyRouterSettings(valuesByPath);
  }

  private String text(String path) {
    String value = valuesByPath.get(path);
    if (value == null) {
      throw new IllegalArgumentException("setting " + path + " is absent");
    }
    return value;
  }

  private double number(String path) {
    String value = text(path);
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("setting " + path + " is no number: " + value, e);
    }
  }

  /** A price that is not stated is zero. */
  private double price(String path) {
    return valuesByPath.containsKey(path) ? number(path) : 0;
  }

  private int integer(String path) {
    return (int) number(path);
  }

  /** The length of a list of objects; one that is not stated is empty. */
  private int count(String path) {
    return valuesByPath.containsKey(path + COUNT) ? integer(path + COUNT) : 0;
  }

  private Duration duration(String path) {
    return Duration.ofNanos(Math.round(number(path) * NANOS_PER_MICRO));
  }

  private boolean flag(String path) {
    String value = text(path);
    if (!value.equals("true") && !value.equals("false")) {
      throw new IllegalArgumentException(
          "setting " + path + " is neither true nor false: " + value);
    }
    return value.equals("true");
  }

  private <T> T choice(String path, Map<String, T> valuesByWord) {
    String word = text(path);
    T value = valuesByWord.get(word);
    if (value == null) {
      throw new IllegalArgumentException("setting " + path + " has an unknown word: " + word);
    }
    return value;
  }

  private static String classPath(int requestClass, String name) {
    return REQUEST_CLASSES + "." + requestClass + "." + name;
  }

  /** The place of a load report's field, or -1. */
  public int reportFieldIndex(String word) {
    String fields = valuesByPath.get(LOAD_REPORT_FIELDS);
    return fields == null ? -1 : Arrays.asList(fields.split(",")).indexOf(word);
  }

  /** Whether load reports say how many attempts a worker serves at the time. */
  public boolean reportsConcurrency() {
    return valuesByPath.getOrDefault(CONCURRENCY_REPORTED, "false").equals("true");
  }

  /**
   * The place of each name among {@code path.0.Name}, {@code path.1.Name} and so on, for request
   * classes (Lanes) and tenants (Tenants).
   */
  public Map<String, Integer> namedIndices(String path) {
    Map<String, Integer> indices = new HashMap<>();
    int count = count(path);
    for (int i = 0; i < count; i++) {
      indices.put(text(path + "." + i + "." + NAME), i);
    }
    return indices;
  }

  /** The place of each name in a list of plain values: zones, kinds of worker. */
  public Map<String, Integer> listIndices(String path) {
    Map<String, Integer> indices = new HashMap<>();
    for (String word : text(path).split(",")) {
      indices.put(word, indices.size());
    }
    return indices;
  }

  /** Time after which a load command that has no response is given up. */
  public Duration loadCommandTimeout() {
    return duration(LOAD_COMMAND_TIMEOUT);
  }

  /** Time that opening a connection to a worker may take. */
  public Duration connectTimeout() {
    return duration(CONNECT_TIMEOUT);
  }

  /** Time after which workers close an idle connection. */
  public Duration connectionIdleTimeout() {
    return duration(CONNECTION_IDLE_TIMEOUT);
  }

  /** Attempts that one connection carries at a time. */
  public int attemptsPerConnection() {
    return integer(ATTEMPTS_PER_CONNECTION);
  }

  /** Requests that may be pending at a time. */
  public int maxPendingRequests() {
    return integer(MAX_PENDING_REQUESTS);
  }

  @Override
  public int routerIndex() {
    return integer(ROUTER_INDEX);
  }

  @Override
  public int routerCount() {
    return integer(ROUTER_COUNT);
  }

  @Override
  public int zone() {
    return integer(ZONE);
  }

  @Override
  public Duration tickInterval() {
    return duration(TICK_INTERVAL);
  }

  @Override
  public int requestClassCount() {
    return integer(REQUEST_CLASSES + COUNT);
  }

  @Override
  public Duration latencyObjective(int requestClass) {
    return duration(classPath(requestClass, LATENCY_OBJECTIVE));
  }

  @Override
  public Duration requestTimeout(int requestClass) {
    return duration(classPath(requestClass, REQUEST_TIMEOUT));
  }

  @Override
  public double priorityWeight(int requestClass) {
    return number(classPath(requestClass, PRIORITY_WEIGHT));
  }

  @Override
  public double lateValueShare(int requestClass) {
    return number(classPath(requestClass, LATE_VALUE_SHARE));
  }

  @Override
  public Idempotency idempotency(int requestClass) {
    return choice(classPath(requestClass, IDEMPOTENCY), IDEMPOTENCY_WORDS);
  }

  @Override
  public DeduplicationScope deduplicationScope(int requestClass) {
    return choice(classPath(requestClass, DEDUPLICATION_SCOPE), DEDUPLICATION_SCOPE_WORDS);
  }

  @Override
  public Duration deduplicationWindow(int requestClass) {
    return duration(classPath(requestClass, DEDUPLICATION_WINDOW));
  }

  @Override
  public int tenantCount() {
    return count(TENANTS);
  }

  @Override
  public double tenantQuota(int tenant) {
    return number(TENANTS + "." + tenant + "." + TENANT_QUOTA);
  }

  @Override
  public double overQuotaWeight() {
    return number(OVER_QUOTA_WEIGHT);
  }

  @Override
  public int maxAttempts() {
    return integer(MAX_ATTEMPTS);
  }

  @Override
  public boolean hedgingAllowed() {
    return flag(HEDGING_ALLOWED);
  }

  @Override
  public boolean probesAllowed() {
    return flag(PROBES_ALLOWED);
  }

  @Override
  public boolean cancellationAllowed() {
    return flag(CANCELLATION_ALLOWED);
  }

  @Override
  public boolean retryAfterAllowed() {
    return flag(RETRY_AFTER_ALLOWED);
  }

  @Override
  public Duration maxRetryAfter() {
    return duration(MAX_RETRY_AFTER);
  }

  @Override
  public double coldCapacityShare() {
    return number(COLD_CAPACITY_SHARE);
  }

  @Override
  public Duration warmUpDuration() {
    return duration(WARM_UP_DURATION);
  }

  @Override
  public double coldOverloadMultiple() {
    return number(COLD_OVERLOAD_MULTIPLE);
  }

  @Override
  public Duration coldOverloadWindow() {
    return duration(COLD_OVERLOAD_WINDOW);
  }

  @Override
  public boolean loadsOnDemand() {
    return choice(LOADS_ON_DEMAND, LOADS_ON_DEMAND_WORDS);
  }

  @Override
  public boolean loadCommandsAllowed() {
    return flag(LOAD_COMMANDS_ALLOWED);
  }

  @Override
  public Duration replicaIdleTimeout() {
    return duration(REPLICA_IDLE_TIMEOUT);
  }

  @Override
  public double loadQuotaBase() {
    return number(LOAD_QUOTA_BASE);
  }

  @Override
  public double loadQuotaPerRequest() {
    return number(LOAD_QUOTA_PER_REQUEST);
  }

  @Override
  public Duration loadQuotaWindow() {
    return duration(LOAD_QUOTA_WINDOW);
  }

  @Override
  public double idleMemoryPrice() {
    return price(IDLE_MEMORY_PRICE);
  }

  @Override
  public double[] workerKindMemory() {
    try {
      return Arrays.stream(text(WORKER_KIND_MEMORY).split(","))
          .mapToDouble(Double::parseDouble)
          .toArray();
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(
          "setting " + WORKER_KIND_MEMORY + " is no list of numbers", e);
    }
  }

  @Override
  public double probePrice() {
    return price(PROBE_PRICE);
  }

  @Override
  public boolean capacityReported() {
    return choice(CAPACITY_REPORTS, CAPACITY_REPORT_WORDS);
  }

  @Override
  public double crossZonePrice() {
    return price(CROSS_ZONE_PRICE);
  }

  @Override
  public boolean pollsEndpointList() {
    return choice(ENDPOINT_DISCOVERY, ENDPOINT_DISCOVERY_WORDS);
  }

  @Override
  public Duration endpointPollInterval() {
    return duration(ENDPOINT_POLL_INTERVAL);
  }
}
