package switchgap.testbed.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The distribution of requests over tenants and routers. A tenant's rate can be changed by a
 * factor, and traffic can be shifted to the routers of one zone.
 */
final class TrafficMix {
  private final double[] routerShares;
  private final Map<String, Double> tenantShares;
  private final String[] zoneByRouter;
  private final boolean[] routerExcluded;
  private final Map<String, Double> tenantRateFactors = new HashMap<>();

  TrafficMix(double[] routerShares, Map<String, Double> tenantShares) {
    this.routerShares = routerShares.clone();
    this.tenantShares = tenantShares;
    this.zoneByRouter = new String[routerShares.length];
    this.routerExcluded = new boolean[routerShares.length];
  }

  void setZone(int router, String zone) {
    zoneByRouter[router] = zone;
  }

  /** Sends all traffic to the routers of one zone; null restores the configured shares. */
  void shiftToZone(String zone) {
    for (int i = 0; i < routerExcluded.length; i++) {
      routerExcluded[i] = zone != null && !zone.equals(zoneByRouter[i]);
    }
  }

  /** Sets a factor on one tenant's rate; 1 is the normal rate. */
  void setTenantRateFactor(String tenant, double factor) {
    if (factor == 1) {
      tenantRateFactors.remove(tenant);
    } else {
      tenantRateFactors.put(tenant, factor);
    }
  }

  /** Sum of all tenants' shares, each times its rate factor; 1 without rate factors. */
  double totalWeight() {
    double total = 1;
    for (var tenantAndFactor : tenantRateFactors.entrySet()) {
      total += tenantShares.get(tenantAndFactor.getKey()) * (tenantAndFactor.getValue() - 1);
    }
    return total;
  }

  /** Draws the tenant of a request, with one random draw. */
  String drawTenant(SplittableRandom random, double totalWeight) {
    double remaining = random.nextDouble() * totalWeight;
    String tenant = "";
    for (var tenantAndShare : tenantShares.entrySet()) {
      tenant = tenantAndShare.getKey();
      remaining -= tenantAndShare.getValue() * tenantRateFactors.getOrDefault(tenant, 1.0);
      if (remaining < 0) {
        break;
      }
    }
    return tenant;
  }

  /** Draws the router of a request, with one random draw. */
  int drawRouter(SplittableRandom random) {
    double sum = 0;
    for (int i = 0; i < routerShares.length; i++) {
      sum += routerExcluded[i] ? 0 : routerShares[i];
    }
    double remaining = random.nextDouble() * sum;
    int router = 0;
    for (int i = 0; i < routerShares.length; i++) {
      if (routerExcluded[i]) {
        continue;
      }
      router = i;
      remaining -= routerShares[i];
      if (remaining < 0) {
        break;
      }
    }
    return router;
  }
}
