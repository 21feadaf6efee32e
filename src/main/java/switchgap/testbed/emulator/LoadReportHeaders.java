package switchgap.testbed.emulator;

import java.util.HashMap;
import java.util.Map;

/** Builds the response headers that carry a worker's load report. */
final class LoadReportHeaders {
  /** The value of a metric that is omitted from the report. */
  static final int ABSENT = -1;

  private final boolean reportsUtilization;

  LoadReportHeaders(boolean reportsUtilization) {
    this.reportsUtilization = reportsUtilization;
  }

  /** Returns headers with the metrics of the worker only. */
  Map<String, String> plain(EmulatedWorker worker) {
    return build(worker, ABSENT, ABSENT, ABSENT);
  }

  /** Returns headers that also hold the number of loaded replicas of a function. */
  Map<String, String> withReplicas(EmulatedWorker worker, int replicas) {
    return build(worker, ABSENT, ABSENT, replicas);
  }

  /**
   * Returns headers that also hold a request's metrics, each of which may be {@link #ABSENT}.
   *
   * @param concurrency number of the function's executions in flight when the request arrived
   * @param executed 1 if the request was executed, 0 if not
   */
  Map<String, String> withExecution(EmulatedWorker worker, int concurrency, int executed) {
    return build(worker, concurrency, executed, ABSENT);
  }

  private Map<String, String> build(
      EmulatedWorker worker, int concurrency, int executed, int replicas) {
    StringBuilder report = new StringBuilder("TEXT ");
    if (reportsUtilization) {
      report
          .append("cpu_utilization=")
          .append(worker.utilization())
          .append(",named_metrics.inflight=")
          .append(worker.inFlight())
          .append(",named_metrics.queue=")
          .append(worker.queued())
          .append(',');
    }
    append(report, "crowd", concurrency);
    append(report, "executed", executed);
    append(report, "copies", replicas);
    Map<String, String> headers = new HashMap<>();
    headers.put("endpoint-load-metrics", report.substring(0, report.length() - 1));
    headers.put("Content-Type", "application/json");
    return headers;
  }

  private static void append(StringBuilder report, String metric, int value) {
    if (value >= 0) {
      report.append("named_metrics.").append(metric).append('=').append(value).append(',');
    }
  }
}
