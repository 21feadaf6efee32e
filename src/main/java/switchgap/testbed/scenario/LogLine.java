package switchgap.testbed.scenario;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of an event log.
 *
 * @param lineNumber counts the lines of the log from 1
 * @param event what happened
 * @param fields the line as JSON
 */
record LogLine(int lineNumber, ScenarioEvent event, JsonNode fields) {
  private static final String TIME = "t";
  private static final String EVENT = "what";

  /**
   * Reads a line.
   *
   * @param number of the line
   * @param fields the line as JSON
   * @return the line, null where it has no time or no event
   */
  static LogLine parse(int number, JsonNode fields) {
    if (fields == null || !fields.path(TIME).isNumber() || !fields.path(EVENT).isTextual()) {
      return null;
    }
    return new LogLine(number, ScenarioEvent.of(fields.get(EVENT).asText()), fields);
  }

  /** Time of the event in microseconds. */
  long time() {
    return fields.get(TIME).asLong();
  }

  boolean hasEvent(ScenarioEvent expected) {
    return event == expected;
  }

  /** Index of the router that it concerns, -1 where it states none. */
  int router() {
    return integer("router");
  }

  /** Name of the worker that it concerns. */
  String worker() {
    return text("worker");
  }

  /** Id of the client's request. */
  String requestId() {
    return text("job");
  }

  /** Id of the client's attempt. */
  String attemptId() {
    return text("call");
  }

  /** Id of the execution at a worker. */
  String executionId() {
    return text("run");
  }

  /** The word for how an attempt ended. */
  String outcomeWord() {
    return text("end");
  }

  /** A text, empty where it is absent. */
  String text(String name) {
    return fields.path(name).asText("");
  }

  /** An integer, -1 where it is absent. */
  int integer(String name) {
    return fields.path(name).asInt(-1);
  }

  /** An integer that every line of this event has. */
  long requiredLong(String name) {
    return fields.get(name).asLong();
  }

  /** A number that every line of this event has. */
  double requiredDouble(String name) {
    return fields.get(name).asDouble();
  }

  /** A boolean, false where it is absent. */
  boolean flag(String name) {
    return fields.path(name).asBoolean();
  }
}
