package switchgap.protocol.resp;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/**
 * One reply of a worker: an array of id, status word, fields and body.
 *
 * @param id the id or tag of the command that it replies to
 * @param status its status, null where the word is none of the protocol
 * @param fields its fields by name
 * @param body the result of an execution, else empty
 */
record WorkerReply(String id, ReplyStatus status, Map<String, String> fields, byte[] body) {
  private static final int PARTS = 4;
  private static final int ID_PART = 0;
  private static final int STATUS_PART = 1;
  private static final int FIELDS_PART = 2;
  private static final int BODY_PART = 3;

  /** The longest id, tag or status word. */
  private static final int MAX_NAME_BYTES = 64;

  private static final String NO_FIELDS = "-";
  private static final String REPLICAS_FIELD = "count";
  private static final String CONCURRENCY_FIELD = "crowd";
  private static final String REPORT_FIELD = "report";
  private static final String REPORT_SEPARATOR = ";";
  // Metrics of a report: each by the word of the settings, and by that of the protocol's
  // description.
  private static final String LOAD_SHARE_METRIC = "load_share";
  private static final String UTILIZATION_METRIC = "util";
  private static final String CONCURRENT_METRIC = "concurrent";
  private static final String IN_FLIGHT_METRIC = "inflight";
  private static final String DEPTH_METRIC = "depth";
  private static final String QUEUE_METRIC = "queue";

  /** Figures are below this. */
  private static final double FIGURE_BOUND = 1e6;

  private static final int MAX_FIGURE_CHARS = 24;

  /**
   * The reply that an array says.
   *
   * @throws RespDecoder.MalformedReplyException where it has another number of parts, a part that
   *     is too long or fields without a name
   */
  static WorkerReply parse(byte[][] parts) throws RespDecoder.MalformedReplyException {
    if (parts.length != PARTS
        || parts[ID_PART].length > MAX_NAME_BYTES
        || parts[STATUS_PART].length > MAX_NAME_BYTES) {
      throw new RespDecoder.MalformedReplyException(
          "reply of " + parts.length + " parts, or with an id or a status that is too long");
    }
    return new WorkerReply(
        text(parts[ID_PART]),
        ReplyStatus.ofWord(text(parts[STATUS_PART])),
        parseFields(text(parts[FIELDS_PART])),
        parts[BODY_PART]);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private static Map<String, String> parseFields(String text)
      throws RespDecoder.MalformedReplyException {
    if (text.equals(NO_FIELDS) || text.isEmpty()) {
      return Map.of();
    }
    Map<String, String> fields = new HashMap<>();
    for (String field : text.split(",", -1)) {
      int separator = field.indexOf('=');
      if (separator <= 0) {
        throw new RespDecoder.MalformedReplyException("reply with a field that has no name");
      }
      fields.put(field.substring(0, separator), field.substring(separator + 1));
    }
    return fields;
  }

  /** What the reply means and proves; null where its status word is none of the protocol. */
  AttemptOutcome outcome() {
    return status == null ? null : status.outcome();
  }

  /** Replicas that are loaded, as the reply to a load command says; 0 where it does not. */
  int replicas() {
    return (int) parseFigure(fields.get(REPLICAS_FIELD), 0);
  }

  /**
   * What the reply reports of the worker's load.
   *
   * @param reportsConcurrency whether workers report their concurrency, so that a reply to an
   *     execution without the field means none
   */
  LoadReport loadReport(boolean reportsConcurrency) {
    double cpuUtilization = Double.NaN;
    double inFlight = Double.NaN;
    double queueLength = Double.NaN;
    for (String metric : fields.getOrDefault(REPORT_FIELD, "").split(REPORT_SEPARATOR)) {
      int colon = metric.indexOf(':');
      if (colon < 0) {
        continue;
      }
      double value = parseFigure(metric.substring(colon + 1), Double.NaN);
      switch (metric.substring(0, colon)) {
        case LOAD_SHARE_METRIC, UTILIZATION_METRIC -> cpuUtilization = value;
        case CONCURRENT_METRIC, IN_FLIGHT_METRIC -> inFlight = value;
        case DEPTH_METRIC, QUEUE_METRIC -> queueLength = value;
        default -> {} // a metric that the policy does not use
      }
    }
    return new LoadReport(
        cpuUtilization,
        inFlight,
        queueLength,
        reportsConcurrency ? concurrency() : LoadReport.NONE.concurrency());
  }

  private int concurrency() {
    boolean repliesToExecution = status == ReplyStatus.DATA || status == ReplyStatus.FULL;
    return repliesToExecution
        ? (int) Math.max(0, parseFigure(fields.get(CONCURRENCY_FIELD), 0))
        : LoadReport.NONE.concurrency();
  }

  /** A figure within reason, or the default: a peer's nonsense must not reach the policy. */
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
