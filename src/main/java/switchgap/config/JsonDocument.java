package switchgap.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON text to maps, lists, strings, numbers, booleans and null; the nesting depth is
 * limited. It uses only Jackson's streaming parser, so that a router on the platform starts without
 * loading Jackson's object mapper.
 */
public final class JsonDocument {
  private static final int MAX_DEPTH = 32;
  private static final JsonFactory FACTORY = new JsonFactory();

  private JsonDocument() {}

  /**
   * Parses a text that consists of one JSON object.
   *
   * @return the object's members, in the order of the text
   * @throws IOException if the text is not valid JSON, is not an object, is nested too deeply, or
   *     continues after the object
   */
  public static Map<String, Object> parseObject(String text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("the text does not start with a JSON object");
      }
      Map<String, Object> members = readObject(parser, 0);
      if (parser.nextToken() != null) {
        throw new IOException(
            "unexpected text after the JSON object at "
                + parser.currentLocation().offsetDescription());
      }
      return members;
    }
  }

  private static Map<String, Object> readObject(JsonParser parser, int depth) throws IOException {
    Map<String, Object> members = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      members.put(name, readValue(parser, depth + 1));
    }
    return members;
  }

  private static List<Object> readArray(JsonParser parser, int depth) throws IOException {
    List<Object> elements = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      elements.add(readValue(parser, depth + 1));
    }
    return elements;
  }

  private static Object readValue(JsonParser parser, int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new IOException("JSON is nested deeper than " + MAX_DEPTH + " levels");
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser, depth);
      case START_ARRAY -> readArray(parser, depth);
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
      case VALUE_TRUE, VALUE_FALSE -> parser.getBooleanValue();
      case VALUE_NULL -> null;
      default -> parser.getText();
    };
  }

  /**
   * Returns the values of an object by path. A path consists of member names, joined by dots. A
   * list of single values becomes one value, joined by commas. A list that contains objects or
   * lists has its length at {@code path.count} and its elements at {@code path.0}, {@code path.1}
   * and so on. Members that are null are omitted.
   */
  public static Map<String, String> flatten(Map<String, Object> members) {
    Map<String, String> valuesByPath = new HashMap<>();
    members.forEach((name, value) -> flatten(valuesByPath, name, value));
    return valuesByPath;
  }

  private static void flatten(Map<String, String> valuesByPath, String path, Object value) {
    if (value instanceof Map<?, ?> members) {
      members.forEach((name, member) -> flatten(valuesByPath, path + "." + name, member));
    } else if (value instanceof List<?> elements) {
      flattenList(valuesByPath, path, elements);
    } else if (value != null) {
      valuesByPath.put(path, value.toString());
    }
  }

  private static void flattenList(Map<String, String> valuesByPath, String path, List<?> elements) {
    if (elements.stream().noneMatch(element -> element instanceof Map || element instanceof List)) {
      valuesByPath.put(path, String.join(",", elements.stream().map(String::valueOf).toList()));
      return;
    }
    valuesByPath.put(path + ".count", String.valueOf(elements.size()));
    for (int i = 0; i < elements.size(); i++) {
      flatten(valuesByPath, path + "." + i, elements.get(i));
    }
  }
}
