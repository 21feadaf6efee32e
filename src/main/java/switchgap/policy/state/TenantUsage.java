package switchgap.policy.state;

import java.util.Arrays;

/** Counts requests by tenant against the tenants' shares of all quotas. */
public final class TenantUsage {
  private final double[] shares;
  private final double[] requests;
  private double allRequests;

  /** The quotas may be in any unit: only their ratios count. */
  public TenantUsage(double[] quotas) {
    requests = new double[quotas.length];
    double all = Math.max(Arrays.stream(quotas).sum(), Double.MIN_NORMAL);
    shares = Arrays.stream(quotas).map(quota -> quota / all).toArray();
  }

  /** Counts a request; one of an unknown tenant is not counted. */
  public void count(int tenant) {
    if (tenant < requests.length) {
      requests[tenant]++;
      allRequests++;
    }
  }

  /** Requests of all tenants. */
  public double total() {
    return allRequests;
  }

  /** Whether a known tenant has more than this multiple of its share of all requests. */
  public boolean exceeds(int tenant, double multiple) {
    return tenant < requests.length && requests[tenant] > multiple * shares[tenant] * allRequests;
  }

  /** Halves all counts. */
  public void halve() {
    Arrays.setAll(requests, tenant -> requests[tenant] / 2);
    allRequests /= 2;
  }
}
