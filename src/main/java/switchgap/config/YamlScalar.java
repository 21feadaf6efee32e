package switchgap.config;

import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A single value in a YAML document. Each conversion to a type throws {@link
 * InvalidConfigException} with the place of the value if its text is invalid.
 *
 * @param document the mapping that contains the value
 * @param key the value's key in the mapping
 * @param text the value as it is written
 */
record YamlScalar(YamlDocument document, String key, String text) {
  private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(us|ms|s|m|h)");

  /** About 1157 days. */
  private static final double MAX_DURATION_NANOS = 1e17;

  /** Whole-number bounds below this value are printed without a decimal point. */
  private static final double MAX_PRINTED_AS_INTEGER = 1e9;

  /** A number within bounds, both inclusive. */
  double number(double min, double max) {
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw invalid("must be a number");
    }
    if (value >= min && value <= max) {
      return value;
    }
    throw invalid("must be between " + print(min) + " and " + print(max));
  }

  /** A whole number within bounds, both inclusive. */
  int integer(int min, int max) {
    double value = number(min, max);
    if (value != Math.rint(value)) {
      throw invalid("must be a whole number");
    }
    return (int) value;
  }

  private static String print(double bound) {
    boolean isWhole = bound == Math.rint(bound) && Math.abs(bound) < MAX_PRINTED_AS_INTEGER;
    return isWhole ? Long.toString((long) bound) : Double.toString(bound);
  }

  /** A duration with a unit, or 0 without one. */
  Duration duration() {
    if (text.trim().equals("0")) {
      return Duration.ZERO;
    }
    Matcher matcher = DURATION.matcher(text.trim());
    if (!matcher.matches()) {
      throw invalid("must be a duration with a unit, such as 250ms, 1.5s, 2m or 1h");
    }
    double nanos = Double.parseDouble(matcher.group(1)) * nanosPerUnit(matcher.group(2));
    if (nanos > MAX_DURATION_NANOS) {
      throw invalid("must not be longer than 1157 days");
    }
    return Duration.ofNanos(Math.round(nanos));
  }

  private static double nanosPerUnit(String unit) {
    return switch (unit) {
      case "us" -> 1e3;
      case "ms" -> 1e6;
      case "s" -> 1e9;
      case "m" -> 60e9;
      default -> 3600e9;
    };
  }

  /** One of the allowed words. */
  String choice(List<String> allowed) {
    if (!allowed.contains(text)) {
      throw invalid("must be one of " + String.join(", ", allowed));
    }
    return text;
  }

  private InvalidConfigException invalid(String reason) {
    return document.invalid(key, "invalid value '" + text + "': " + reason);
  }
}
