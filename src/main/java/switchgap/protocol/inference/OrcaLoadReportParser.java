package switchgap.protocol.inference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Parses a load report header in TEXT or JSON form. Invalid and out-of-range metrics are ignored;
 * no input causes an exception.
 */
final class OrcaLoadReportParser {
  private static final String TEXT_FORM = "TEXT";
  private static final String JSON_FORM = "JSON";

  /** Exclusive upper limit of a metric's value, the same as in the RESP protocol. */
  private static final double METRIC_VALUE_LIMIT = 1e6;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, Double> metrics = new HashMap<>();

  private OrcaLoadReportParser() {}

  /**
   * Returns the metrics by name. Names of nested objects are joined by dots, as in the TEXT form.
   */
  static Map<String, Double> parse(String header) {
    OrcaLoadReportParser parser = new OrcaLoadReportParser();
    if (header.startsWith(JSON_FORM)) {
      parser.parseJson(header.substring(JSON_FORM.length()));
    } else if (header.startsWith(TEXT_FORM)) {
      parser.parseText(header.substring(TEXT_FORM.length()));
    } else {
      parser.parseText(header);
    }
    return parser.metrics;
  }

  private void parseJson(String text) {
    try {
      addObject("", JSON.readTree(text));
    } catch (IOException e) {
      // A report that is not valid JSON is treated as absent.
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
        addParsed(metric.substring(0, separator).trim(), metric.substring(separator + 1).trim());
      }
    }
  }

  private void addParsed(String name, String text) {
    try {
      add(name, Double.parseDouble(text));
    } catch (NumberFormatException e) {
      // An invalid value also discards an earlier value of the same name.
      metrics.remove(name);
    }
  }

  /** Adds a metric if it is in range; NaN, negative and huge values must not reach the policy. */
  private void add(String name, double value) {
    if (value >= 0 && value < METRIC_VALUE_LIMIT) {
      metrics.put(name, value);
    }
  }
}
