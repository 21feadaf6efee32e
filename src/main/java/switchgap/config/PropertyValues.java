package switchgap.config;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Values by path, converted to types. A list of plain values is one value with commas; a list of
 * objects has its length under {@code path.count} and its elements under {@code path.0}, {@code
 * path.1} and so on. Unless documented otherwise, a method throws {@link IllegalArgumentException}
 * with the path where the value is absent or can't be converted.
 */
final class PropertyValues {
  private static final String COUNT = ".count";
  private static final String NAME = ".Name";
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
      throw new IllegalArgumentException("setting " + path + " is absent");
    }
    return value;
  }

  double number(String path) {
    String value = text(path);
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("setting " + path + " is no number: " + value, e);
    }
  }

  /** A number; 0 where it is absent. */
  double optionalNumber(String path) {
    return valuesByPath.containsKey(path) ? number(path) : 0;
  }

  /** A number without its fraction. */
  int integer(String path) {
    return (int) number(path);
  }

  /** A duration that is written in microseconds. */
  Duration duration(String path) {
    return ofMicros(number(path));
  }

  /** A duration that is written in microseconds; zero where it is absent. */
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
          "setting " + path + " is neither true nor false: " + value);
    }
    return value.equals(TRUE);
  }

  /** Whether the value is the word true; false where it is absent or another word. */
  boolean isTrue(String path) {
    return TRUE.equals(valuesByPath.get(path));
  }

  /** The value that a word stands for. */
  <T> T choice(String path, Map<String, T> valuesByWord) {
    String word = text(path);
    T value = valuesByWord.get(word);
    if (value == null) {
      throw new IllegalArgumentException("setting " + path + " has an unknown word: " + word);
    }
    return value;
  }

  /** The length of a list of objects. */
  int count(String path) {
    return integer(path + COUNT);
  }

  /** The length of a list of objects; 0 where the list is absent. */
  int optionalCount(String path) {
    return valuesByPath.containsKey(path + COUNT) ? count(path) : 0;
  }

  /** The index of each object of a list by its name; empty where the list is absent. */
  Map<String, Integer> namedIndices(String path) {
    Map<String, Integer> indices = new HashMap<>();
    int count = optionalCount(path);
    for (int i = 0; i < count; i++) {
      indices.put(text(path + "." + i + NAME), i);
    }
    return indices;
  }

  /** The index of each word in a list of plain values. */
  Map<String, Integer> listIndices(String path) {
    Map<String, Integer> indices = new HashMap<>();
    for (String word : text(path).split(LIST_SEPARATOR)) {
      indices.put(word, indices.size());
    }
    return indices;
  }

  /** The first index of a word in a list of plain values; -1 where either is absent. */
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
      throw new IllegalArgumentException("setting " + path + " is no list of numbers", e);
    }
  }
}
