package switchgap.policy.state;

import java.time.Duration;

/** The load of one worker as of its last report. */
public final class ReportedLoad {
  private double foreignLoad;
  private double cpuUtilization = 1;
  private Duration reportedAt;

  /** Other routers' requests at the worker. */
  public double foreignLoad() {
    return foreignLoad;
  }

  /** Share of the worker's cores in use, 1 where it was never reported. */
  public double cpuUtilization() {
    return cpuUtilization;
  }

  /** When the load was last reported, null for never. */
  public Duration reportedAt() {
    return reportedAt;
  }

  /** Records a report; a utilization that was not reported (NaN) stays as it was. */
  public void update(double load, double utilization, Duration now) {
    foreignLoad = load;
    reportedAt = now;
    cpuUtilization = Double.isNaN(utilization) ? cpuUtilization : utilization;
  }
}
