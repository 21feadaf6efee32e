package switchgap.config;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/** Settings of request classes, tenants and functions that are read from a YAML document. */
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
   * Returns the settings of a function; null if none match. An entry with exactly this name takes
   * precedence; of several matching prefixes, the first in the document applies.
   */
  public FunctionSettings function(String name) {
    return functions.find(name);
  }

  /** The settings of the request class with this index. */
  public RequestClassSettings requestClass(int requestClass) {
    return requestClasses.classes().get(requestClass);
  }

  /** The index of the request class with this name, or -1 if there is none. */
  public int requestClassIndex(String name) {
    return requestClasses.index(name);
  }

  /** The index of the tenant with this name, or -1 if there is none. */
  public int tenantIndex(String name) {
    return tenants.index(name);
  }

  /** The name of the tenant with this index. */
  public String tenantName(int tenant) {
    return tenants.names().get(tenant);
  }

  /** The quota of each tenant, in requests per second over all routers. */
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
