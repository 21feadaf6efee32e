package switchgap.testbed.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * How requests spread over tenants and routers, with bursts of tenants and traffic moved to one
 * zone.
 */
final class TrafficMix {
  private final double[] routerShares;
  private final Map<String, Double> tenantShares;
  private final String[] zones;
  private final boolean[] excluded;
  private final Map<String, Double> tenantRateFactors = new HashMap<>();

  TrafficMix(double[] routerShares, Map<String, Double> tenantShares) {
    this.routerShares = routerShares.clone();
    this.tenantShares = tenantShares;
    this.zones = new String[routerShares.length];
    this.excluded = new boolean[routerShares.length];
  }

  void setZone(int router, String zone) {
    zones[router] = zone;
  }

  /** Sends all traffic to the routers of one zone; null ends it. */
  void shiftTo(String zone) {
    for (int i = 0; i < excluded.length; i++) {
      excluded[i] = zone != null && !zone.equals(zones[i]);
    }
  }

  /** Multiplies one tenant's rate; 1 ends it. */
  void setTenantRateFactor(String tenant, double factor) {
    if (factor == 1) {
      tenantRateFactors.remove(tenant);
    } else {
      tenantRateFactors.put(tenant, factor);
    }
  }

  /** Total weight of all tenants: 1 without rate factors. */
  double totalWeight() {
    double total = 1;
    for (var factor : tenantRateFactors.entrySet()) {
      total += tenantShares.get(factor.getKey()) * (factor.getValue() - 1);
    }
    return total;
  }

  /** Draws the tenant of a request; one draw. */
  String drawTenant(SplittableRandom random, double totalWeight) {
    double remaining = random.nextDouble() * totalWeight;
    String tenant = "";
    for (var share : tenantShares.entrySet()) {
      tenant = share.getKey();
      remaining -= share.getValue() * tenantRateFactors.getOrDefault(tenant, 1.0);
      if (remaining < 0) {
        break;
      }
    }
    return tenant;
  }

  /** Draws the router of a request; one draw. */
  int drawRouter(SplittableRandom random) {
    double sum = 0;
    for (int i = 0; i < routerShares.length; i++) {
      sum += excluded[i] ? 0 : routerShares[i];
    }
    double remaining = random.nextDouble() * sum;
    int router = 0;
    for (int i = 0; i < routerShares.length; i++) {
      if (excluded[i]) {
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
