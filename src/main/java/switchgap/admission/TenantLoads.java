package switchgap.admission;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Loads of the tenants, and which of them exceed their quota. A tenant exceeds it when its load per
 * unit of quota stands out from the usual one, the median over the tenants weighted by quota. A few
 * tenants that send far too much don't move it as long as they hold less than half of the quotas.
 */
final class TenantLoads {
  /**
   * Multiple of the usual load from which a tenant exceeds its quota. Guards against shedding for
   * ordinary differences between tenants.
   */
  private static final double OVER_QUOTA_FACTOR = 1.3;

  /**
   * Added to it for a load of one request, and less by the square root of its load: guards against
   * judging a tenant by a handful of requests.
   */
  private static final double SAMPLING_ERROR = 3;

  /**
   * Multiple of the usual load that is admitted of a tenant over its quota. Guards against leaving
   * it worse off than a tenant within its quota.
   */
  private static final double ADMITTED_QUOTA_FACTOR = 1.1;

  private final double[] quotas;
  private final double totalQuota;
  private final double maxWeight;
  private final double[] offeredWeight; // admitted or not
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

  /** A request of a priority weight was offered, admitted or not. */
  void offered(int tenant, double weight) {
    offeredWeight[tenant] += weight;
  }

  /** Fraction of the tenant's load beyond its quota, as of the last update; 0 within the quota. */
  double excessFraction(int tenant) {
    return excessFraction[tenant];
  }

  /** The tenant's load beyond its quota, in priority weight. */
  double excessWeight(int tenant) {
    return offeredWeight[tenant] * excessFraction[tenant];
  }

  /** The load of all tenants, above 0. */
  double totalWeight() {
    return Math.max(Arrays.stream(offeredWeight).sum(), Double.MIN_NORMAL);
  }

  /** Determines anew which tenants exceed their quotas. */
  void update() {
    double[] loads = new double[quotas.length]; // per unit of quota
    for (int i = 0; i < quotas.length; i++) {
      loads[i] = offeredWeight[i] / Math.max(quotas[i], Double.MIN_NORMAL);
    }
    double usual = usualLoad(loads);
    for (int i = 0; i < quotas.length; i++) {
      double doubt = SAMPLING_ERROR / Math.sqrt(Math.max(1, offeredWeight[i] / maxWeight));
      boolean over = usual > 0 && loads[i] > (OVER_QUOTA_FACTOR + doubt) * usual;
      excessFraction[i] = over ? 1 - ADMITTED_QUOTA_FACTOR * usual / loads[i] : 0;
    }
  }

  /** The median of the loads, weighted by quota. */
  private double usualLoad(double[] loads) {
    Integer[] byLoad = new Integer[loads.length];
    Arrays.setAll(byLoad, tenant -> tenant);
    Arrays.sort(byLoad, Comparator.comparingDouble(tenant -> loads[tenant]));
    double usual = 0;
    double sum = 0;
    for (int tenant : byLoad) {
      sum += quotas[tenant];
      usual = loads[tenant];
      if (sum >= totalQuota / 2) {
        break;
      }
    }
    return usual;
  }

  /** Lets the loads decay to a fraction. */
  void decay(double retained) {
    for (int i = 0; i < offeredWeight.length; i++) {
      offeredWeight[i] *= retained;
    }
  }
}
