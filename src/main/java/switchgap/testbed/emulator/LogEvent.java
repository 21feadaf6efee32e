package switchgap.testbed.emulator;

import java.util.ArrayList;
import java.util.List;

/** One event of a log: its time in microseconds, its kind, and named values in their order. */
public final class LogEvent {
  /**
   * A named value.
   *
   * @param name name in the log
   * @param value text, a number or a boolean; null is left out of the log
   */
  record Field(String name, Object value) {}

  private final long timeMicros;
  private final String kind;
  private final List<Field> fields = new ArrayList<>();

  private LogEvent(long timeMicros, String kind) {
    this.timeMicros = timeMicros;
    this.kind = kind;
  }

  /** An event without values as yet. */
  public static LogEvent of(long timeMicros, String kind) {
    return new LogEvent(timeMicros, kind);
  }

  /** Adds a text; null is left out of the log. */
  public LogEvent with(String name, String value) {
    return add(name, value);
  }

  /** Adds an integer. */
  public LogEvent with(String name, long value) {
    return add(name, value);
  }

  /** Adds a real number. */
  public LogEvent with(String name, double value) {
    return add(name, value);
  }

  /** Adds a boolean. */
  public LogEvent with(String name, boolean value) {
    return add(name, value);
  }

  /** Adds a value of any of these types. */
  LogEvent add(String name, Object value) {
    fields.add(new Field(name, value));
    return this;
  }

  long timeMicros() {
    return timeMicros;
  }

  String kind() {
    return kind;
  }

  List<Field> fields() {
    return fields;
  }
}
