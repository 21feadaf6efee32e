package switchgap.policy.state;

import java.time.Duration;

/** The load of one worker according to its last report. */
public final class ReportedLoad {
  private double foreignLoad;
  private double cpuUtilization = 1;
  private Duration reportedAt;

  /** Number of other routers' requests at the worker. */
  public double foreignLoad() {
    return foreignLoad;
  }

  /** Share of the worker's cores in use; 1 if it was never reported. */
  public double cpuUtilization() {
    return cpuUtilization;
  }

  /** When the load was last reported; null if never. */
  public Duration reportedAt() {
    return reportedAt;
  }

  /** Records a report; an unreported utilization (NaN) leaves the previous value unchanged. */
  public void update(double load, double utilization, Duration now) {
    foreignLoad = load;
    reportedAt = now;
    cpuUtilization = Double.isNaN(utilization) ? cpuUtilization : utilization;
  }
}
