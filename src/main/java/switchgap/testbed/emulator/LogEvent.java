package switchgap.testbed.emulator;

import java.util.ArrayList;
import java.util.List;

/** An event for an {@link EventRecorder}: time in microseconds, kind, and ordered named values. */
public final class LogEvent {
  /**
   * A named value.
   *
   * @param name name of the field in the log
   * @param value a string, a number or a boolean; if null, the field is omitted from the log
   */
  record Field(String name, Object value) {}

  private final long timeMicros;
  private final String kind;
  private final List<Field> fields = new ArrayList<>();

  private LogEvent(long timeMicros, String kind) {
    this.timeMicros = timeMicros;
    this.kind = kind;
  }

  /** Creates an event without values. */
  public static LogEvent of(long timeMicros, String kind) {
    return new LogEvent(timeMicros, kind);
  }

  /** Adds a string; if it is null, the field is omitted from the log. */
  public LogEvent with(String name, String value) {
    return add(name, value);
  }

  /** Adds an integer. */
  public LogEvent with(String name, long value) {
    return add(name, value);
  }

  /** Adds a floating-point number. */
  public LogEvent with(String name, double value) {
    return add(name, value);
  }

  /** Adds a boolean. */
  public LogEvent with(String name, boolean value) {
    return add(name, value);
  }

  /** Adds a value of one of the types that {@link Field#value} lists. */
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
