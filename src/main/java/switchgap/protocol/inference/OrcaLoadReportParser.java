package switchgap.protocol.inference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Parses one load report header in its TEXT or JSON form. A figure that is invalid or out of bounds
 * is left out; no header fails.
 */
final class OrcaLoadReportParser {
  private static final String TEXT_FORM = "TEXT";
  private static final String JSON_FORM = "JSON";

  /** Figures are below this, as those of the RESP protocol are. */
  private static final double FIGURE_BOUND = 1e6;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Map<String, Double> metrics = new HashMap<>();

  private OrcaLoadReportParser() {}

  /** The metrics in a header; those of nested objects are named with a dot, as in the TEXT form. */
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

  /** Adds a figure within its bounds: an invalid one must not reach the policy. */
  private void add(String name, double value) {
    if (value >= 0 && value < FIGURE_BOUND) {
      metrics.put(name, value);
    }
  }
}
