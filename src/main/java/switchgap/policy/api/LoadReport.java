package switchgap.policy.api;

/**
 * The load that a worker reported.
 *
 * @param cpuUtilization share of the worker's cores in use, NaN if not reported
 * @param inFlight requests in flight there, of all routers, NaN if not reported
 * @param queueLength requests queued there, NaN if not reported
 * @param concurrency requests in flight there when an attempt arrived, negative if not reported
 */
public record LoadReport(
    double cpuUtilization, double inFlight, double queueLength, int concurrency) {
  /** No load was reported. */
  public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN, -1);

  /** A report of only the concurrency. */
  public static LoadReport ofConcurrency(int concurrency) {
    return new LoadReport(Double.NaN, Double.NaN, Double.NaN, concurrency);
  }

  /**
   * The report of a load probe: requests in flight, if not reported, are those queued and this
   * router's own.
   */
  public LoadReport withInFlightFromQueue(int ownInFlight) {
    double all = Double.isNaN(inFlight) ? queueLength + ownInFlight : inFlight;
    return new LoadReport(cpuUtilization, all, queueLength, -1);
  }
}
