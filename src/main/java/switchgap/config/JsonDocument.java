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
 * Parses JSON text to maps, lists, strings, numbers, booleans and null; its depth is bounded. It
 * uses the streaming parser alone, as a router on the platform must not load Jackson's object
 * mapper at its start.
 */
public final class JsonDocument {
  private static final int MAX_DEPTH = 32;
  private static final JsonFactory FACTORY = new JsonFactory();

  private JsonDocument() {}

  /**
   * Parses a text that is one object.
   *
   * @return its members in their order
   * @throws IOException if the text is no object or continues after it; names the place
   */
  public static Map<String, Object> parseObject(String text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("no object at its start");
      }
      Map<String, Object> members = readObject(parser, 0);
      if (parser.nextToken() != null) {
        throw new IOException(
            "more behind the object at " + parser.currentLocation().offsetDescription());
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
      throw new IOException("nested deeper than " + MAX_DEPTH);
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
   * Returns the values of an object by path: members joined by dots, lists of plain values joined
   * by commas, other lists as {@code path.count}, {@code path.0}, {@code path.1} and so on; null is
   * omitted.
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
