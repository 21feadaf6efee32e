package switchgap.config;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/** The settings of a YAML document about requests: their classes, tenants and functions. */
abstract class YamlRequestSettings implements RouterSettings {
  private final RequestClassesSection requestClasses;
  private final TenantsSection tenants;
  private final FunctionsSection functions;

  YamlRequestSettings(YamlSections sections) {
    requestClasses = sections.requestClasses();
    tenants = sections.tenants();
    functions = sections.functions();
  }

  /**
   * Returns the entry of a function; null where there is none. An exact name takes precedence over
   * prefixes, which match in the order of the document.
   */
  public FunctionSettings function(String name) {
    return functions.find(name);
  }

  /** The request class with an index. */
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

  /** The name of the tenant with an index. */
  public String tenantName(int tenant) {
    return tenants.names().get(tenant);
  }

  /** Quotas of all tenants, in requests a second over all routers. */
  double[] tenantQuotas() {
    return tenants.quotaArray();
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
}
