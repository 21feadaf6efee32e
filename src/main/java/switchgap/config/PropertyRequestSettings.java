package switchgap.config;

import java.time.Duration;
import java.util.Map;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/** Reads the settings of request classes and tenants from a property tree. */
abstract class PropertyRequestSettings implements RouterSettings {
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

  private final PropertyValues values;

  PropertyRequestSettings(PropertyValues values) {
    this.values = values;
  }

  private static String classPath(int requestClass, String name) {
    return REQUEST_CLASSES + "." + requestClass + "." + name;
  }

  @Override
  public int requestClassCount() {
    return values.count(REQUEST_CLASSES);
  }

  @Override
  public Duration latencyObjective(int requestClass) {
    return values.duration(classPath(requestClass, LATENCY_OBJECTIVE));
  }

  @Override
  public Duration requestTimeout(int requestClass) {
    return values.duration(classPath(requestClass, REQUEST_TIMEOUT));
  }

  @Override
  public double priorityWeight(int requestClass) {
    return values.number(classPath(requestClass, PRIORITY_WEIGHT));
  }

  @Override
  public double lateValueShare(int requestClass) {
    return values.number(classPath(requestClass, LATE_VALUE_SHARE));
  }

  @Override
  public Idempotency idempotency(int requestClass) {
    return values.choice(classPath(requestClass, IDEMPOTENCY), IDEMPOTENCY_WORDS);
  }

  @Override
  public DeduplicationScope deduplicationScope(int requestClass) {
    return values.choice(classPath(requestClass, DEDUPLICATION_SCOPE), DEDUPLICATION_SCOPE_WORDS);
  }

  @Override
  public Duration deduplicationWindow(int requestClass) {
    return values.duration(classPath(requestClass, DEDUPLICATION_WINDOW));
  }

  @Override
  public int tenantCount() {
    return values.optionalCount(TENANTS);
  }

  @Override
  public double tenantQuota(int tenant) {
    return values.number(TENANTS + "." + tenant + "." + TENANT_QUOTA);
  }
}
