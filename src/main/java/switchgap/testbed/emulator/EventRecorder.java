package switchgap.testbed.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A log of JSON lines, one for each event; every line begins with its time in microseconds and its
 * kind. Safe for use by several threads.
 */
public final class EventRecorder implements AutoCloseable {
  private static final String END_KIND = "end";
  private final JsonGenerator json;

  /** Records to a file, which is replaced. */
  public EventRecorder(Path file) throws IOException {
    json = new JsonFactory().createGenerator(Files.newBufferedWriter(file));
    json.setRootValueSeparator(new SerializedString("\n"));
  }

  private EventRecorder() {
    json = null;
  }

  /** A recorder that writes nothing. */
  public static EventRecorder none() {
    return new EventRecorder();
  }

  /**
   * Records one event.
   *
   * @param timeMicros time in microseconds
   * @param kind kind of the event
   * @param fields names and values in turn; a value is text, a number or a boolean, and null is
   *     left out
   */
  public void record(long timeMicros, String kind, Object... fields) {
    LogEvent event = LogEvent.of(timeMicros, kind);
    for (int i = 0; i < fields.length; i += 2) {
      event.add((String) fields[i], fields[i + 1]);
    }
    record(event);
  }

  /** Records one event; a closed recorder drops it. */
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

  /** Writes the last line, which proves that the log is complete, and closes the file. */
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
