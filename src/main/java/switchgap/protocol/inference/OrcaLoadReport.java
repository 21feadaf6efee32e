package switchgap.protocol.inference;

import java.util.Map;
import switchgap.policy.api.LoadReport;

/**
 * A load report in a response header, of the Open Request Cost Aggregation format in its TEXT and
 * JSON forms. A figure that is invalid is left out; a report never fails a response. Immutable.
 */
final class OrcaLoadReport {
  /** Name of the header. */
  static final String HEADER = "endpoint-load-metrics";

  /** Named metric: 0 where the request was not executed. */
  static final String EXECUTED = "executed";

  /** Named metric: replicas of the function that are loaded. */
  static final String REPLICAS = "copies";

  /** The report of a response that has none. */
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

  /** The report in a response's headers, by names in lower case; empty where there is none. */
  static OrcaLoadReport parse(Map<String, String> headers) {
    String header = headers.get(HEADER);
    if (header == null || header.length() > MAX_HEADER_CHARS) {
      return EMPTY;
    }
    return new OrcaLoadReport(OrcaLoadReportParser.parse(header));
  }

  /** A named metric, NaN where it was not reported. */
  double namedMetric(String name) {
    return metrics.getOrDefault(NAMED_METRICS_PREFIX + name, Double.NaN);
  }

  /** Whether the worker says that it did not execute the request. */
  boolean provesNotExecuted() {
    return namedMetric(EXECUTED) == 0;
  }

  /** The part of the report that the policy uses. */
  LoadReport toLoadReport() {
    double concurrency = namedMetric(CONCURRENCY);
    return new LoadReport(
        metrics.getOrDefault(CPU_UTILIZATION, Double.NaN),
        namedMetric(IN_FLIGHT),
        namedMetric(QUEUE_LENGTH),
        Double.isNaN(concurrency) ? LoadReport.NONE.concurrency() : (int) concurrency);
  }
}
