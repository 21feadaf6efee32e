package switchgap.protocol.resp;

import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.LoadReport;

/**
 * The fields of a worker's reply. A figure that is absent, malformed or out of bounds is read as
 * its default, since a peer's error must not reach the policy.
 */
final class ReplyFields {
  private static final String NO_FIELDS = "-";
  private static final String FIELD_SEPARATOR = ",";
  private static final char NAME_END = '=';
  private static final String REPLICAS_FIELD = "count";
  private static final String CONCURRENCY_FIELD = "crowd";
  private static final String LOAD_REPORT_FIELD = "report";

  private static final String METRIC_SEPARATOR = ";";
  private static final char METRIC_NAME_END = ':';
  // Each metric has two names: one of the platform's settings, one of the protocol's description.
  private static final String LOAD_SHARE_METRIC = "load_share";
  private static final String UTILIZATION_METRIC = "util";
  private static final String CONCURRENT_METRIC = "concurrent";
  private static final String IN_FLIGHT_METRIC = "inflight";
  private static final String DEPTH_METRIC = "depth";
  private static final String QUEUE_METRIC = "queue";

  /** Valid figures are at least 0 and below this. */
  private static final double FIGURE_BOUND = 1e6;

  private static final int MAX_FIGURE_CHARS = 24;

  private final Map<String, String> valuesByName;

  private ReplyFields(Map<String, String> valuesByName) {
    this.valuesByName = valuesByName;
  }

  /**
   * Parses fields of the form {@code name=value,name=value}, or a hyphen for none.
   *
   * @throws MalformedReplyException where a field has no name
   */
  static ReplyFields parse(String text) throws MalformedReplyException {
    if (text.equals(NO_FIELDS) || text.isEmpty()) {
      return new ReplyFields(Map.of());
    }
    Map<String, String> valuesByName = new HashMap<>();
    for (String field : text.split(FIELD_SEPARATOR, -1)) {
      int nameEnd = field.indexOf(NAME_END);
      if (nameEnd <= 0) {
        throw new MalformedReplyException("reply with a field that has no name");
      }
      valuesByName.put(field.substring(0, nameEnd), field.substring(nameEnd + 1));
    }
    return new ReplyFields(valuesByName);
  }

  /** The number of loaded replicas; 0 where it is not stated. */
  int replicas() {
    return (int) parseFigure(valuesByName.get(REPLICAS_FIELD), 0);
  }

  /** The number of attempts that the worker executes; 0 where it is not stated. */
  int concurrency() {
    return (int) parseFigure(valuesByName.get(CONCURRENCY_FIELD), 0);
  }

  /** Returns the load metrics, NaN each where it is not stated, with a concurrency. */
  LoadReport loadReport(int concurrency) {
    double cpuUtilization = Double.NaN;
    double inFlight = Double.NaN;
    double queueLength = Double.NaN;
    String metrics = valuesByName.getOrDefault(LOAD_REPORT_FIELD, "");
    for (String metric : metrics.split(METRIC_SEPARATOR)) {
      int nameEnd = metric.indexOf(METRIC_NAME_END);
      if (nameEnd < 0) {
        continue;
      }
      double value = parseFigure(metric.substring(nameEnd + 1), Double.NaN);
      switch (metric.substring(0, nameEnd)) {
        case LOAD_SHARE_METRIC, UTILIZATION_METRIC -> cpuUtilization = value;
        case CONCURRENT_METRIC, IN_FLIGHT_METRIC -> inFlight = value;
        case DEPTH_METRIC, QUEUE_METRIC -> queueLength = value;
        default -> {} // a metric that the policy does not use
      }
    }
    return new LoadReport(cpuUtilization, inFlight, queueLength, concurrency);
  }

  private static double parseFigure(String text, double defaultValue) {
    if (text == null || text.length() > MAX_FIGURE_CHARS) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(text);
      return value >= 0 && value < FIGURE_BOUND ? value : defaultValue;
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
