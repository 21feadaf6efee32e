package switchgap.config;

import java.time.Duration;
import java.util.Map;

/**
 * Router settings that are read from a property tree: values by path, from the platform's JSON or
 * the simulator's lines. Unknown paths are ignored. Values are converted at each call: a missing
 * required value or an invalid one throws an {@link IllegalArgumentException} that names the path.
 * Times are written in microseconds. The base classes hold the settings of requests and of workers.
 */
public final class PropertyRouterSettings extends PropertyWorkerSettings {
  private static final String ROUTER_INDEX = "Me";
  private static final String ROUTER_COUNT = "Balancers";
  private static final String ZONE = "MyZone";
  private static final String TICK_INTERVAL = "TickUs";
  private static final String OVER_QUOTA_WEIGHT = "OverShareWorth";
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
  private static final String LOAD_COMMAND_TIMEOUT = "Extra.LoadWaitUs";
  private static final String CONCURRENCY_REPORTED = "Extra.SaysCompany";
  private static final String PROBE_PRICE = "Costs.Probe";
  private static final String CROSS_ZONE_PRICE = "Costs.CrossZone";
  private static final String LOAD_REPORT_FIELDS = "Telemetry.Fields";

  private final PropertyValues values;

  /**
   * Creates settings that read from a map of values by path.
   *
   * @param valuesByPath values in the form that {@link JsonDocument#flatten} returns; the map is
   *     not copied
   */
  public PropertyRouterSettings(Map<String, String> valuesByPath) {
    this(new PropertyValues(valuesByPath));
  }

  private PropertyRouterSettings(PropertyValues values) {
    super(values);
    this.values = values;
  }

  /** Parses lines of the form path=value; lines of another form are ignored. */
  public static PropertyRouterSettings parse(String text) {
    return new PropertyRouterSettings(PropertyValues.parse(text));
  }

  /** The position of a field in load reports; -1 if load reports do not have it. */
  public int reportFieldIndex(String fieldName) {
    return values.indexInList(LOAD_REPORT_FIELDS, fieldName);
  }

  /**
   * Whether load reports include the number of attempts that the worker executes at that moment;
   * false if the setting is missing.
   */
  public boolean reportsConcurrency() {
    return values.isTrue(CONCURRENCY_REPORTED);
  }

  /**
   * The index of each object in a list, by the object's name; for request classes ({@code Lanes})
   * and tenants ({@code Tenants}). Empty if the list is missing.
   */
  public Map<String, Integer> namedIndices(String path) {
    return values.namedIndices(path);
  }

  /** The index of each word in a list of single values; for zones and kinds of worker. */
  public Map<String, Integer> listIndices(String path) {
    return values.listIndices(path);
  }

  /** Time after which a load command without a response times out. */
  public Duration loadCommandTimeout() {
    return values.duration(LOAD_COMMAND_TIMEOUT);
  }

  /** Timeout for opening a connection to a worker. */
  public Duration connectTimeout() {
    return values.duration(CONNECT_TIMEOUT);
  }

  /** Time after which workers close a connection without requests. */
  public Duration connectionIdleTimeout() {
    return values.duration(CONNECTION_IDLE_TIMEOUT);
  }

  /** Maximum number of attempts that are in flight on one connection. */
  public int attemptsPerConnection() {
    return values.integer(ATTEMPTS_PER_CONNECTION);
  }

  /** Maximum number of requests that are pending in the router. */
  public int maxPendingRequests() {
    return values.integer(MAX_PENDING_REQUESTS);
  }

  @Override
  public int routerIndex() {
    return values.integer(ROUTER_INDEX);
  }

  @Override
  public int routerCount() {
    return values.integer(ROUTER_COUNT);
  }

  @Override
  public int zone() {
    return values.integer(ZONE);
  }

  @Override
  public Duration tickInterval() {
    return values.duration(TICK_INTERVAL);
  }

  @Override
  public double overQuotaWeight() {
    return values.number(OVER_QUOTA_WEIGHT);
  }

  @Override
  public int maxAttempts() {
    return values.integer(MAX_ATTEMPTS);
  }

  @Override
  public boolean hedgingAllowed() {
    return values.flag(HEDGING_ALLOWED);
  }

  @Override
  public boolean probesAllowed() {
    return values.flag(PROBES_ALLOWED);
  }

  @Override
  public boolean cancellationAllowed() {
    return values.flag(CANCELLATION_ALLOWED);
  }

  @Override
  public boolean retryAfterAllowed() {
    return values.flag(RETRY_AFTER_ALLOWED);
  }

  @Override
  public Duration maxRetryAfter() {
    return values.duration(MAX_RETRY_AFTER);
  }

  @Override
  public double probePrice() {
    return values.optionalNumber(PROBE_PRICE);
  }

  @Override
  public double crossZonePrice() {
    return values.optionalNumber(CROSS_ZONE_PRICE);
  }
}
