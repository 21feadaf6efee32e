package switchgap.testbed.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes events to a log in JSON Lines format. Each line starts with the event's time in
 * microseconds and its kind. Thread-safe.
 */
public final class EventRecorder implements AutoCloseable {
  private static final String END_KIND = "end";
  private final JsonGenerator json;

  /** Creates a recorder that writes to a file; an existing file is overwritten. */
  public EventRecorder(Path file) throws IOException {
    json = new JsonFactory().createGenerator(Files.newBufferedWriter(file));
    json.setRootValueSeparator(new SerializedString("\n"));
  }

  private EventRecorder() {
    json = null;
  }

  /** Returns a recorder that discards all events. */
  public static EventRecorder none() {
    return new EventRecorder();
  }

  /**
   * Records one event.
   *
   * @param timeMicros time in microseconds
   * @param kind kind of the event
   * @param fields alternating names and values; a value is a string, a number or a boolean, and a
   *     field whose value is null is omitted
   */
  public void record(long timeMicros, String kind, Object... fields) {
    LogEvent event = LogEvent.of(timeMicros, kind);
    for (int i = 0; i < fields.length; i += 2) {
      event.add((String) fields[i], fields[i + 1]);
    }
    record(event);
  }

  /** Records one event; a closed recorder discards it. */
  public synchronized void record(LogEvent event) {
    if (json == null || json.isClosed()) {
      return;
    }
    try {
      json.writeStartObject();
      json.writeNumberField("t", event.timeMicros());
      json.writeStringField("what", event.kind());
      for (LogEvent.Field field : event.fields()) {
        write(field.name(), field.value());
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void write(String name, Object value) throws IOException {
    if (value instanceof Integer || value instanceof Long) {
      json.writeNumberField(name, ((Number) value).longValue());
    } else if (value instanceof Double real) {
      json.writeNumberField(name, real);
    } else if (value instanceof Boolean flag) {
      json.writeBooleanField(name, flag);
    } else if (value != null) {
      json.writeStringField(name, value.toString());
    }
  }

  /** Writes the last line, by which readers recognize a complete log, and closes the file. */
  public synchronized void end(long timeMicros) throws IOException {
    if (!json.isClosed()) {
      record(LogEvent.of(timeMicros, END_KIND));
      json.writeRaw("\n");
      json.close();
    }
  }

  @Override
  public synchronized void close() throws IOException {
    json.close();
  }
}
