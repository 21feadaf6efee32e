package switchgap.admission;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Which tenants are over their share. A tenant is over it when its load for a share stands out from
 * the usual one, the median over the tenants weighted by share. A few that send far too much don't
 * move it as long as they hold less than half of the shares.
 */
final class TenantLoads {
  /**
   * Times the usual load for a share, from which a tenant is over it. Guards against shedding for
   * ordinary differences between tenants.
   */
  private static final double OVER_SHARE_FACTOR = 1.3;

  /**
   * Added to it for a load of one request, and less by the square root of its load: guards against
   * judging a tenant by a handful of requests.
   */
  private static final double SAMPLING_ERROR = 3;

  /**
   * Times the usual load for its share, what a tenant that is over it keeps. Guards against leaving
   * a tenant that is over its share worse off than one that is not.
   */
  private static final double KEPT_SHARE_FACTOR = 1.1;

  private final double[] shares;
  private final double totalShare;
  private final double maxWeight;
  private final double[] offeredWeight; // admitted or not
  private final double[] excessFraction;

  TenantLoads(AdmissionSettings settings) {
    this.shares = settings.tenantShares();
    this.maxWeight = settings.maxPriorityWeight();
    this.offeredWeight = new double[shares.length];
    this.excessFraction = new double[shares.length];
    double sum = 0;
    for (double share : shares) {
      sum += share;
    }
    this.totalShare = sum;
  }

  void offered(int tenant, double weight) {
    offeredWeight[tenant] += weight;
  }

  /**
   * Fraction of the tenant's load that exceeds its share, as of the last update; 0 where it is not
   * over it.
   */
  double excessFraction(int tenant) {
    return excessFraction[tenant];
  }

  /** The tenant's load that exceeds its share, in priority weight. */
  double excessWeight(int tenant) {
    return offeredWeight[tenant] * excessFraction[tenant];
  }

  /** The load of all tenants, above 0. */
  double totalWeight() {
    return Math.max(Arrays.stream(offeredWeight).sum(), Double.MIN_NORMAL);
  }

  /** Judges anew who is over its share. */
  void update() {
    double[] loads = new double[shares.length];
    for (int i = 0; i < shares.length; i++) {
      loads[i] = offeredWeight[i] / Math.max(shares[i], Double.MIN_NORMAL);
    }
    double usual = usualLoad(loads);
    for (int i = 0; i < shares.length; i++) {
      double doubt = SAMPLING_ERROR / Math.sqrt(Math.max(1, offeredWeight[i] / maxWeight));
      boolean over = usual > 0 && loads[i] > (OVER_SHARE_FACTOR + doubt) * usual;
      excessFraction[i] = over ? 1 - KEPT_SHARE_FACTOR * usual / loads[i] : 0;
    }
  }

  /** The median of the loads, weighted by share. */
  private double usualLoad(double[] loads) {
    Integer[] byLoad = new Integer[loads.length];
    Arrays.setAll(byLoad, tenant -> tenant);
    Arrays.sort(byLoad, Comparator.comparingDouble(tenant -> loads[tenant]));
    double usual = 0;
    double sum = 0;
    for (int tenant : byLoad) {
      sum += shares[tenant];
      usual = loads[tenant];
      if (sum >= totalShare / 2) {
        break;
      }
    }
    return usual;
  }

  void decay(double retained) {
    for (int i = 0; i < offeredWeight.length; i++) {
      offeredWeight[i] *= retained;
    }
  }
}
