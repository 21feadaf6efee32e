package switchgap.testbed.scenario;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of an event log.
 *
 * @param lineNumber line number in the log, starting at 1
 * @param event type of the event
 * @param fields JSON object of the line
 */
record LogLine(int lineNumber, ScenarioEvent event, JsonNode fields) {
  private static final String TIME = "t";
  private static final String EVENT = "what";

  /**
   * Creates a line from its JSON.
   *
   * @param lineNumber line number in the log, starting at 1
   * @param fields JSON of the line, may be null
   * @return the line, null if it has no time or no event
   */
  static LogLine parse(int lineNumber, JsonNode fields) {
    if (fields == null || !fields.path(TIME).isNumber() || !fields.path(EVENT).isTextual()) {
      return null;
    }
    return new LogLine(lineNumber, ScenarioEvent.of(fields.get(EVENT).asText()), fields);
  }

  /** Time of the event in microseconds; all logs of a run use the same clock. */
  long time() {
    return fields.get(TIME).asLong();
  }

  boolean hasEvent(ScenarioEvent expected) {
    return event == expected;
  }

  /** Index of the router, -1 if the line names none. */
  int router() {
    return integer("router");
  }

  /** Name of the worker, empty if the line names none. */
  String worker() {
    return text("worker");
  }

  /** Id of the client's request, empty if the line names none. */
  String requestId() {
    return text("job");
  }

  /** Id of the client's attempt, empty if the line names none. */
  String attemptId() {
    return text("call");
  }

  /** Id of the execution at a worker, empty if the line names none. */
  String executionId() {
    return text("run");
  }

  /** Name of an attempt's outcome in the logs, empty if the line has none. */
  String outcomeWord() {
    return text("end");
  }

  /** A string member, empty if it is absent. */
  String text(String name) {
    return fields.path(name).asText("");
  }

  /** An integer member, -1 if it is absent. */
  int integer(String name) {
    return fields.path(name).asInt(-1);
  }

  /** An integer member that every line of this event has. */
  long requiredLong(String name) {
    return fields.get(name).asLong();
  }

  /** A floating-point member that every line of this event has. */
  double requiredDouble(String name) {
    return fields.get(name).asDouble();
  }

  /** A boolean member, false if it is absent. */
  boolean flag(String name) {
    return fields.path(name).asBoolean();
  }
}
