package switchgap.config;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts text values, which are looked up by path, to types. A list of single values is one value
 * whose elements are joined by commas. A list of objects has its length at {@code path.count} and
 * its elements at {@code path.0}, {@code path.1} and so on. Unless documented otherwise, a method
 * throws an {@link IllegalArgumentException} that names the path if the value is missing or can't
 * be converted.
 */
final class PropertyValues {
  private static final String COUNT_SUFFIX = ".count";
  private static final String NAME_SUFFIX = ".Name";
  private static final String LIST_SEPARATOR = ",";
  private static final String TRUE = "true";
  private static final String FALSE = "false";
  private static final int NANOS_PER_MICRO = 1000;

  private final Map<String, String> valuesByPath;

  PropertyValues(Map<String, String> valuesByPath) {
    this.valuesByPath = valuesByPath;
  }

  /** Parses lines of the form path=value; lines of another form are ignored. */
  static PropertyValues parse(String text) {
    Map<String, String> valuesByPath = new HashMap<>();
    for (String line : text.split("\n")) {
      int equalsSign = line.indexOf('=');
      if (equalsSign > 0) {
        String path = line.substring(0, equalsSign).trim();
        valuesByPath.put(path, line.substring(equalsSign + 1).trim());
      }
    }
    return new PropertyValues(valuesByPath);
  }

  String text(String path) {
    String value = valuesByPath.get(path);
    if (value == null) {
      throw new IllegalArgumentException("setting " + path + " is missing");
    }
    return value;
  }

  double number(String path) {
    String value = text(path);
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(
          "setting " + path + " must be a number, got '" + value + "'", e);
    }
  }

  /** A number; 0 if it is missing. */
  double optionalNumber(String path) {
    return valuesByPath.containsKey(path) ? number(path) : 0;
  }

  /** A number, truncated to an integer. */
  int integer(String path) {
    return (int) number(path);
  }

  /** A duration that is written in microseconds. */
  Duration duration(String path) {
    return ofMicros(number(path));
  }

  /** A duration that is written in microseconds; zero if it is missing. */
  Duration optionalDuration(String path) {
    return ofMicros(optionalNumber(path));
  }

  private static Duration ofMicros(double micros) {
    return Duration.ofNanos(Math.round(micros * NANOS_PER_MICRO));
  }

  boolean flag(String path) {
    String value = text(path);
    if (!value.equals(TRUE) && !value.equals(FALSE)) {
      throw new IllegalArgumentException(
          "setting " + path + " must be true or false, got '" + value + "'");
    }
    return value.equals(TRUE);
  }

  /** Whether the value is {@code true}; false if it is missing or any other text. */
  boolean isTrue(String path) {
    return TRUE.equals(valuesByPath.get(path));
  }

  /** The entry of {@code valuesByWord} for the word at a path. */
  <T> T choice(String path, Map<String, T> valuesByWord) {
    String word = text(path);
    T value = valuesByWord.get(word);
    if (value == null) {
      throw new IllegalArgumentException(
          "setting " + path + " has the unsupported value '" + word + "'");
    }
    return value;
  }

  /** The length of a list of objects. */
  int count(String path) {
    return integer(path + COUNT_SUFFIX);
  }

  /** The length of a list of objects; 0 if the list is missing. */
  int optionalCount(String path) {
    return valuesByPath.containsKey(path + COUNT_SUFFIX) ? count(path) : 0;
  }

  /** The index of each object in a list, by the object's name; empty if the list is missing. */
  Map<String, Integer> namedIndices(String path) {
    Map<String, Integer> indices = new HashMap<>();
    int count = optionalCount(path);
    for (int i = 0; i < count; i++) {
      indices.put(text(path + "." + i + NAME_SUFFIX), i);
    }
    return indices;
  }

  /** The index of each word in a list of single values. */
  Map<String, Integer> listIndices(String path) {
    Map<String, Integer> indices = new HashMap<>();
    for (String word : text(path).split(LIST_SEPARATOR)) {
      indices.put(word, indices.size());
    }
    return indices;
  }

  /**
   * The first index of a word in a list of single values; -1 if the list or the word is missing.
   */
  int indexInList(String path, String word) {
    String value = valuesByPath.get(path);
    List<String> words = value == null ? List.of() : Arrays.asList(value.split(LIST_SEPARATOR));
    return words.indexOf(word);
  }

  /** A list of numbers. */
  double[] numbers(String path) {
    try {
      return Arrays.stream(text(path).split(LIST_SEPARATOR))
          .mapToDouble(Double::parseDouble)
          .toArray();
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("setting " + path + " must be a list of numbers", e);
    }
  }
}
