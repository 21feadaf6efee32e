package switchgap.protocol.resp;

import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.LoadReport;

/**
 * The fields of a worker's reply. A value that is absent, malformed or out of bounds is replaced by
 * its default, so that a peer's error does not reach the policy.
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
  // Each metric has two names: one from the platform's settings and one from the protocol
  // specification.
  private static final String LOAD_SHARE_METRIC = "load_share";
  private static final String UTILIZATION_METRIC = "util";
  private static final String CONCURRENT_METRIC = "concurrent";
  private static final String IN_FLIGHT_METRIC = "inflight";
  private static final String DEPTH_METRIC = "depth";
  private static final String QUEUE_METRIC = "queue";

  /** Valid values are at least 0 and less than this bound. */
  private static final double VALUE_BOUND = 1e6;

  private static final int MAX_VALUE_CHARS = 24;

  private final Map<String, String> valuesByName;

  private ReplyFields(Map<String, String> valuesByName) {
    this.valuesByName = valuesByName;
  }

  /**
   * Parses fields of the form {@code name=value,name=value}, or a hyphen for none.
   *
   * @throws MalformedReplyException if a field has no name
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

  /** The number of loaded replicas, or 0 if the reply does not state it. */
  int replicas() {
    return (int) parseValue(valuesByName.get(REPLICAS_FIELD), 0);
  }

  /** The number of attempts that the worker is executing, or 0 if the reply does not state it. */
  int concurrency() {
    return (int) parseValue(valuesByName.get(CONCURRENCY_FIELD), 0);
  }

  /**
   * Returns the reported load metrics combined with {@code concurrency}. A metric that the reply
   * does not contain is NaN.
   */
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
      double value = parseValue(metric.substring(nameEnd + 1), Double.NaN);
      switch (metric.substring(0, nameEnd)) {
        case LOAD_SHARE_METRIC, UTILIZATION_METRIC -> cpuUtilization = value;
        case CONCURRENT_METRIC, IN_FLIGHT_METRIC -> inFlight = value;
        case DEPTH_METRIC, QUEUE_METRIC -> queueLength = value;
        default -> {} // The policy does not use any other metric.
      }
    }
    return new LoadReport(cpuUtilization, inFlight, queueLength, concurrency);
  }

  private static double parseValue(String text, double defaultValue) {
    if (text == null || text.length() > MAX_VALUE_CHARS) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(text);
      return value >= 0 && value < VALUE_BOUND ? value : defaultValue;
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
