package switchgap.policy.api;

/**
 * What a worker reported of its load.
 *
 * @param cpuUtilization share of its cores in use, NaN where not reported
 * @param inFlight requests it holds, of all routers, NaN where not reported
 * @param queueLength requests that wait there, NaN where not reported
 * @param concurrency requests that were there when an attempt arrived, below 0 where not reported
 */
public record LoadReport(
    double cpuUtilization, double inFlight, double queueLength, int concurrency) {
  /** Nothing was reported. */
  public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN, -1);

  /** A report of the concurrency alone. */
  public static LoadReport ofConcurrency(int concurrency) {
    return new LoadReport(Double.NaN, Double.NaN, Double.NaN, concurrency);
  }

  /**
   * The report of a probe: where requests were not reported they are what waits and what this
   * router has there.
   */
  public LoadReport withInFlightFromQueue(int ownInFlight) {
    double all = Double.isNaN(inFlight) ? queueLength + ownInFlight : inFlight;
    return new LoadReport(cpuUtilization, all, queueLength, -1);
  }
}
