package switchgap.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A log of JSON lines, one a message; every line begins with its time in microseconds and what it is. */
public final class EventRecorder implements AutoCloseable {
    private final JsonGenerator json;

    public EventRecorder(Path file) throws IOException {
        BufferedWriter w = Files.newBufferedWriter(file);
        json = new JsonFactory().createGenerator(w);
        json.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    private EventRecorder() { json = null; }

    /** Takes lines and keeps none. */
    public static EventRecorder none() { return new EventRecorder(); }

    /** Fields come in pairs of name and value: text, whole or real number, truth. */
    public synchronized void line(long t, String what, Object... fields) {
        if (json == null || json.isClosed()) { return; }
        try {
            json.writeStartObject();
            json.writeNumberField("t", t);
            json.writeStringField("what", what);
            for (int i = 0; i < fields.length; i += 2) {
                String name = (String) fields[i];
                Object v = fields[i + 1];
                if (v instanceof Integer || v instanceof Long) {
                    json.writeNumberField(name, ((Number) v).longValue());
                } else if (v instanceof Double d) {
                    json.writeNumberField(name, d);
                } else if (v instanceof Boolean b) {
                    json.writeBooleanField(name, b);
                } else if (v != null) {
                    json.writeStringField(name, v.toString());
                }
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The last line says that the log is whole. */
    public synchronized void end(long t) throws IOException {
        if (!json.isClosed()) {
            line(t, "end");
            json.writeRaw("\n");
            json.close();
        }
    }

    @Override public synchronized void close() throws IOException { json.close(); }
}
