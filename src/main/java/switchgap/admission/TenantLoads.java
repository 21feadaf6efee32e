package switchgap.admission;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Measures the loads of the tenants and determines which of them exceed their quotas. A tenant
 * exceeds its quota if its load per unit of quota is clearly above the median of all tenants,
 * weighted by quota. A few tenants with an extreme load do not shift the median while they hold
 * less than half of the total quota.
 */
final class TenantLoads {
  /**
   * Multiple of the median load above which a tenant exceeds its quota. Prevents shedding because
   * of normal differences between tenants.
   */
  private static final double OVER_QUOTA_FACTOR = 1.3;

  /**
   * Added to {@link #OVER_QUOTA_FACTOR} after division by the square root of the tenant's number of
   * requests. Accounts for the sampling error of tenants with few requests.
   */
  private static final double SAMPLING_ERROR_FACTOR = 3;

  /**
   * Multiple of the median load up to which a tenant over its quota is admitted. Above 1, so that
   * it is not treated worse than a tenant within its quota.
   */
  private static final double ADMITTED_QUOTA_FACTOR = 1.1;

  private final double[] quotas;
  private final double totalQuota;
  private final double maxWeight;

  /** Decaying priority weight of the offered requests of each tenant, admitted or not. */
  private final double[] offeredWeight;

  private final double[] excessFraction;

  TenantLoads(AdmissionSettings settings) {
    this.quotas = settings.tenantQuotas();
    this.maxWeight = settings.maxPriorityWeight();
    this.offeredWeight = new double[quotas.length];
    this.excessFraction = new double[quotas.length];
    double sum = 0;
    for (double quota : quotas) {
      sum += quota;
    }
    this.totalQuota = sum;
  }

  /** Counts the priority weight of an offered request, admitted or not. */
  void offered(int tenant, double weight) {
    offeredWeight[tenant] += weight;
  }

  /**
   * The fraction of a tenant's load that is beyond its quota, as of the last update; 0 within the
   * quota.
   */
  double excessFraction(int tenant) {
    return excessFraction[tenant];
  }

  /** The load of a tenant beyond its quota, in priority weight. */
  double excessWeight(int tenant) {
    return offeredWeight[tenant] * excessFraction[tenant];
  }

  /** The total load of all tenants in priority weight; always positive. */
  double totalWeight() {
    return Math.max(Arrays.stream(offeredWeight).sum(), Double.MIN_NORMAL);
  }

  /** Updates which tenants exceed their quotas. */
  void update() {
    double[] loadsPerQuota = new double[quotas.length];
    for (int i = 0; i < quotas.length; i++) {
      loadsPerQuota[i] = offeredWeight[i] / Math.max(quotas[i], Double.MIN_NORMAL);
    }
    double medianLoad = weightedMedian(loadsPerQuota);
    for (int i = 0; i < quotas.length; i++) {
      double samplingMargin =
          SAMPLING_ERROR_FACTOR / Math.sqrt(Math.max(1, offeredWeight[i] / maxWeight));
      boolean isOverQuota =
          medianLoad > 0 && loadsPerQuota[i] > (OVER_QUOTA_FACTOR + samplingMargin) * medianLoad;
      excessFraction[i] =
          isOverQuota ? 1 - ADMITTED_QUOTA_FACTOR * medianLoad / loadsPerQuota[i] : 0;
    }
  }

  /** The median of the loads per unit of quota, weighted by quota. */
  private double weightedMedian(double[] loadsPerQuota) {
    Integer[] byLoad = new Integer[loadsPerQuota.length];
    Arrays.setAll(byLoad, tenant -> tenant);
    Arrays.sort(byLoad, Comparator.comparingDouble(tenant -> loadsPerQuota[tenant]));
    double medianLoad = 0;
    double quotaSum = 0;
    for (int tenant : byLoad) {
      quotaSum += quotas[tenant];
      medianLoad = loadsPerQuota[tenant];
      if (quotaSum >= totalQuota / 2) {
        break;
      }
    }
    return medianLoad;
  }

  /** Multiplies the measured loads by {@code retainedFraction}. */
  void decay(double retainedFraction) {
    for (int i = 0; i < offeredWeight.length; i++) {
      offeredWeight[i] *= retainedFraction;
    }
  }
}
