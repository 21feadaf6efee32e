package switchgap.policy.api;

/**
 * The load that a worker reported.
 *
 * @param cpuUtilization share of the worker's cores in use, NaN if not reported
 * @param inFlight requests of all routers in flight at the worker, NaN if not reported
 * @param queueLength requests queued at the worker, NaN if not reported
 * @param concurrency requests in flight at the replica when an attempt arrived, negative if not
 *     reported
 */
public record LoadReport(
    double cpuUtilization, double inFlight, double queueLength, int concurrency) {
  /** A report without any value. */
  public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN, -1);

  /** Returns a report with only the concurrency. */
  public static LoadReport ofConcurrency(int concurrency) {
    return new LoadReport(Double.NaN, Double.NaN, Double.NaN, concurrency);
  }

  /**
   * Returns the report of a load probe without its concurrency. If the requests in flight were not
   * reported, they are estimated as those queued plus this router's own.
   */
  public LoadReport withInFlightFromQueue(int ownInFlight) {
    double all = Double.isNaN(inFlight) ? queueLength + ownInFlight : inFlight;
    return new LoadReport(cpuUtilization, all, queueLength, -1);
  }
}
