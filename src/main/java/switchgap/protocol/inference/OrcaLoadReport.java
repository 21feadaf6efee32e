package switchgap.protocol.inference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.LoadReport;

/**
 * A load report in a response header, of the Open Request Cost Aggregation format in its TEXT and
 * JSON forms. A value that can't be read is left out; a report never fails a response. Immutable
 * once parsed.
 */
final class OrcaLoadReport {
  /** Name of the header. */
  static final String HEADER = "endpoint-load-metrics";

  /** Named metric: 0 where the request was not executed. */
  static final String EXECUTED = "executed";

  /** Named metric: replicas of the function that are loaded. */
  static final String REPLICAS = "copies";

  /** The report of a response that has none. */
  static final OrcaLoadReport EMPTY = new OrcaLoadReport();

  private static final String IN_FLIGHT = "inflight";
  private static final String QUEUE_LENGTH = "queue";
  private static final String CONCURRENCY = "crowd";
  private static final String CPU_UTILIZATION = "cpu_utilization";
  private static final String NAMED_METRICS_PREFIX = "named_metrics.";
  private static final String TEXT_FORM = "TEXT";
  private static final String JSON_FORM = "JSON";
  private static final int MAX_HEADER_CHARS = 4096;

  /** Figures are below this, as those of the RESP protocol are. */
  private static final double FIGURE_BOUND = 1e6;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, Double> metrics = new HashMap<>();

  private OrcaLoadReport() {}

  /** The report in a response's headers, by names in lower case; empty where there is none. */
  static OrcaLoadReport parse(Map<String, String> headers) {
    String header = headers.get(HEADER);
    if (header == null || header.length() > MAX_HEADER_CHARS) {
      return EMPTY;
    }
    OrcaLoadReport report = new OrcaLoadReport();
    if (header.startsWith(JSON_FORM)) {
      report.parseJson(header.substring(JSON_FORM.length()));
    } else {
      report.parseText(
          header.startsWith(TEXT_FORM) ? header.substring(TEXT_FORM.length()) : header);
    }
    return report;
  }

  private void parseJson(String text) {
    try {
      addObject("", JSON.readTree(text));
    } catch (IOException e) { // unreadable: as if nothing had been reported
      metrics.clear();
    }
  }

  private void addObject(String prefix, JsonNode object) {
    object
        .properties()
        .forEach(
            property -> {
              String name = prefix + property.getKey();
              if (property.getValue().isObject()) {
                addObject(name + ".", property.getValue());
              } else if (property.getValue().isNumber()) {
                add(name, property.getValue().asDouble());
              }
            });
  }

  private void parseText(String text) {
    for (String metric : text.split(",")) {
      int separator = metric.indexOf('=');
      if (separator > 0) {
        addText(metric.substring(0, separator).trim(), metric.substring(separator + 1).trim());
      }
    }
  }

  private void addText(String name, String text) {
    try {
      add(name, Double.parseDouble(text));
    } catch (NumberFormatException e) { // voids an earlier value of the same name too
      metrics.remove(name);
    }
  }

  /** Adds a figure within reason: a peer's nonsense must not reach the policy. */
  private void add(String name, double value) {
    if (value >= 0 && value < FIGURE_BOUND) {
      metrics.put(name, value);
    }
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
