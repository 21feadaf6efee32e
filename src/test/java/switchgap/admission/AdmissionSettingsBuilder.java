package switchgap.admission;

import java.time.Duration;
import java.util.Arrays;
import switchgap.policy.api.Idempotency;

/**
 * Builds settings with two request classes. By default, the low priority class is idempotent, the
 * top priority class is not, and there are no tenants.
 */
final class AdmissionSettingsBuilder {
  /** Index of the request class of low priority. */
  static final int LOW_PRIORITY = 0;

  /** Index of the request class of top priority. */
  static final int TOP_PRIORITY = 1;

  private static final Duration[] LATENCY_OBJECTIVES = {
    Duration.ofMillis(400), Duration.ofMillis(800)
  };

  private double[] priorityWeights = {1, 2};
  private Idempotency[] idempotency = {Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT};
  private double[] tenantQuotas = {};
  private boolean[] exempt = {false, false};
  private ServiceLevel lowestLevel = ServiceLevel.HOLD;
  private Duration maxRetryAfter = Duration.ofSeconds(1);
  private double protectedFraction;

  AdmissionSettingsBuilder priorityWeights(double low, double top) {
    priorityWeights = new double[] {low, top};
    return this;
  }

  AdmissionSettingsBuilder idempotency(Idempotency low, Idempotency top) {
    idempotency = new Idempotency[] {low, top};
    return this;
  }

  /** Sets a number of tenants with equal quotas. */
  AdmissionSettingsBuilder tenants(int count) {
    tenantQuotas = new double[count];
    Arrays.fill(tenantQuotas, 1.0 / count);
    return this;
  }

  AdmissionSettingsBuilder exempt(boolean low, boolean top) {
    exempt = new boolean[] {low, top};
    return this;
  }

  AdmissionSettingsBuilder lowestLevel(ServiceLevel level) {
    lowestLevel = level;
    return this;
  }

  AdmissionSettingsBuilder withoutRetryAfter() {
    maxRetryAfter = null;
    return this;
  }

  AdmissionSettingsBuilder protectedFraction(double fraction) {
    protectedFraction = fraction;
    return this;
  }

  AdmissionSettings build() {
    return new AdmissionSettings(
        priorityWeights,
        idempotency,
        LATENCY_OBJECTIVES,
        tenantQuotas,
        exempt,
        lowestLevel,
        maxRetryAfter,
        protectedFraction);
  }
}
