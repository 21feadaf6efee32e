package switchgap.protocol.inference;

import java.util.Map;
import switchgap.policy.api.LoadReport;

/**
 * A load report from a response header in the Open Request Cost Aggregation (ORCA) format, in TEXT
 * or JSON form. Invalid metrics are ignored; a malformed report never causes a response to fail.
 * Immutable.
 */
final class OrcaLoadReport {
  /** Name of the response header, in lower case. */
  static final String HEADER = "endpoint-load-metrics";

  /** Named metric: 0 if the request was not executed. */
  static final String EXECUTED = "executed";

  /** Named metric: number of loaded replicas of the function. */
  static final String REPLICAS = "copies";

  /** A report without metrics, used if a response has no report. */
  static final OrcaLoadReport EMPTY = new OrcaLoadReport(Map.of());

  private static final String IN_FLIGHT = "inflight";
  private static final String QUEUE_LENGTH = "queue";
  private static final String CONCURRENCY = "crowd";
  private static final String CPU_UTILIZATION = "cpu_utilization";
  private static final String NAMED_METRICS_PREFIX = "named_metrics.";
  private static final int MAX_HEADER_CHARS = 4096;

  private final Map<String, Double> metrics;

  private OrcaLoadReport(Map<String, Double> metrics) {
    this.metrics = Map.copyOf(metrics);
  }

  /** Parses the report in a response's headers, whose names are in lower case; may be empty. */
  static OrcaLoadReport parse(Map<String, String> headers) {
    String header = headers.get(HEADER);
    if (header == null || header.length() > MAX_HEADER_CHARS) {
      return EMPTY;
    }
    return new OrcaLoadReport(OrcaLoadReportParser.parse(header));
  }

  /** Returns a named metric, or NaN if it was not reported. */
  double namedMetric(String name) {
    return metrics.getOrDefault(NAMED_METRICS_PREFIX + name, Double.NaN);
  }

  /** Whether the worker reports that it did not execute the request. */
  boolean reportsNotExecuted() {
    return namedMetric(EXECUTED) == 0;
  }

  /** Converts the metrics that the routing policy uses. */
  LoadReport toLoadReport() {
    double concurrency = namedMetric(CONCURRENCY);
    return new LoadReport(
        metrics.getOrDefault(CPU_UTILIZATION, Double.NaN),
        namedMetric(IN_FLIGHT),
        namedMetric(QUEUE_LENGTH),
        Double.isNaN(concurrency) ? LoadReport.NONE.concurrency() : (int) concurrency);
  }
}
