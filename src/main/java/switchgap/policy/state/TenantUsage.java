package switchgap.policy.state;

import java.util.Arrays;

/** Counts requests by tenant and compares them with the tenants' shares of the sum of quotas. */
public final class TenantUsage {
  private final double[] shares;
  private final double[] requests;
  private double totalRequests;

  /** Creates empty counts; only the ratios between the quotas are used, so any unit will do. */
  public TenantUsage(double[] quotas) {
    requests = new double[quotas.length];
    double quotaSum = Math.max(Arrays.stream(quotas).sum(), Double.MIN_NORMAL);
    shares = Arrays.stream(quotas).map(quota -> quota / quotaSum).toArray();
  }

  /** Counts a request, unless its tenant is unknown. */
  public void count(int tenant) {
    if (tenant < requests.length) {
      requests[tenant]++;
      totalRequests++;
    }
  }

  /** Sum of the counts of all tenants. */
  public double total() {
    return totalRequests;
  }

  /** Whether a tenant has more than a multiple of its share of requests; false if unknown. */
  public boolean exceeds(int tenant, double multiple) {
    return tenant < requests.length && requests[tenant] > multiple * shares[tenant] * totalRequests;
  }

  /** Halves all counts. */
  public void halve() {
    Arrays.setAll(requests, tenant -> requests[tenant] / 2);
    totalRequests /= 2;
  }
}
