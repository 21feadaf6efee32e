package switchgap.policy;

import static switchgap.policy.PolicyHarness.millis;

import java.time.Duration;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/**
 * Settings of one of two routers with one request class. A test changes the fields before it
 * creates the policy.
 */
class TestSettings implements RouterSettings {
  Idempotency idempotency = Idempotency.IDEMPOTENT;
  DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
  Duration latencyObjective = millis(400);
  boolean loadsOnDemand;
  int routerCount = 2;
  int routerIndex;
  double loadQuotaBase = 0;
  double loadQuotaPerRequest = 0;
  Duration loadQuotaWindow = Duration.ZERO;
  double idleMemoryPrice = 0;
  double probePrice = 0;
  int maxAttempts = 4;
  boolean cancellationAllowed = true;

  @Override
  public int routerIndex() {
    return routerIndex;
  }

  @Override
  public int routerCount() {
    return routerCount;
  }

  @Override
  public int zone() {
    return 0;
  }

  @Override
  public Duration tickInterval() {
    return millis(5);
  }

  @Override
  public int requestClassCount() {
    return 1;
  }

  @Override
  public Duration latencyObjective(int requestClass) {
    return latencyObjective;
  }

  @Override
  public Duration requestTimeout(int requestClass) {
    return millis(2000);
  }

  @Override
  public double priorityWeight(int requestClass) {
    return 1;
  }

  @Override
  public double lateValueShare(int requestClass) {
    return 0.2;
  }

  @Override
  public Idempotency idempotency(int requestClass) {
    return idempotency;
  }

  @Override
  public DeduplicationScope deduplicationScope(int requestClass) {
    return deduplicationScope;
  }

  @Override
  public Duration deduplicationWindow(int requestClass) {
    return millis(1000);
  }

  @Override
  public int tenantCount() {
    return 0;
  }

  @Override
  public double tenantQuota(int tenant) {
    return 0;
  }

  @Override
  public double overQuotaWeight() {
    return 0.2;
  }

  @Override
  public int maxAttempts() {
    return maxAttempts;
  }

  @Override
  public boolean hedgingAllowed() {
    return false;
  }

  @Override
  public boolean probesAllowed() {
    return true;
  }

  @Override
  public boolean cancellationAllowed() {
    return cancellationAllowed;
  }

  @Override
  public boolean retryAfterAllowed() {
    return false;
  }

  @Override
  public Duration maxRetryAfter() {
    return millis(500);
  }

  @Override
  public Duration drainGrace() {
    return millis(500);
  }

  @Override
  public double slowStartCapacityShare() {
    return 0.2;
  }

  @Override
  public Duration warmUpDuration() {
    return millis(10_000);
  }

  @Override
  public double slowStartOverloadMultiple() {
    return 2;
  }

  @Override
  public Duration slowStartOverloadWindow() {
    return millis(1000);
  }

  @Override
  public boolean loadsOnDemand() {
    return loadsOnDemand;
  }

  @Override
  public boolean loadCommandsAllowed() {
    return true;
  }

  @Override
  public Duration replicaIdleTimeout() {
    return millis(10_000);
  }

  @Override
  public double loadQuotaBase() {
    return loadQuotaBase;
  }

  @Override
  public double loadQuotaPerRequest() {
    return loadQuotaPerRequest;
  }

  @Override
  public Duration loadQuotaWindow() {
    return loadQuotaWindow;
  }

  @Override
  public double idleMemoryPrice() {
    return idleMemoryPrice;
  }

  @Override
  public double[] workerKindMemory() {
    return new double[] {4000};
  }

  @Override
  public double crossZonePrice() {
    return 0;
  }

  @Override
  public double probePrice() {
    return probePrice;
  }

  @Override
  public boolean capacityReported() {
    return false;
  }

  @Override
  public boolean pollsEndpointList() {
    return false;
  }

  @Override
  public Duration endpointPollInterval() {
    return millis(10_000);
  }
}
