package switchgap.testbed.scenario;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of an event log.
 *
 * @param number counts the lines of the log from 1
 * @param fields the line as JSON
 */
record LogLine(int number, JsonNode fields) {
  static final String TIME = "t";
  static final String KIND = "what";

  /** Time in microseconds. */
  long at() {
    return fields.get(TIME).asLong();
  }

  /** The kind of the event. */
  String kind() {
    return text(KIND);
  }

  boolean is(String kind) {
    return kind().equals(kind);
  }

  /** A text, empty where it is absent. */
  String text(String name) {
    return fields.path(name).asText("");
  }

  /** An integer, -1 where it is absent. */
  int integer(String name) {
    return fields.path(name).asInt(-1);
  }

  /** An integer that every line of this kind has. */
  long requiredLong(String name) {
    return fields.get(name).asLong();
  }

  /** A number that every line of this kind has. */
  double requiredDouble(String name) {
    return fields.get(name).asDouble();
  }

  /** A boolean, false where it is absent. */
  boolean flag(String name) {
    return fields.path(name).asBoolean();
  }
}
