package switchgap.protocol.sse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** Server-sent events out of a stream of bytes, split anywhere. An event counts once its blank line has come. */
public final class ServerSentEventDecoder {
    private final int most;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id;
    private boolean returned;
    private long lines;

    /** A line or an event's data may hold {@code most} bytes. */
    public ServerSentEventDecoder(int most) {
        this.most = most;
    }

    /** Hands on each event's id (null: none) and data. False, for good, at one that is too long. */
    public boolean take(byte[] bytes, BiConsumer<String, String> event) {
        for (byte b : bytes) {
            boolean end = b == '\r' || b == '\n' && !returned;
            boolean pairs = b == '\n' && returned;
            returned = b == '\r';
            if (pairs) { continue; }
            if (!end) {
                if (line.size() >= most) { return false; }
                line.write(b);
                continue;
            }
            lines++;
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            if (!line(text, event)) { return false; }
        }
        return true;
    }

    /** Lines that have come whole, comments too. */
    public long lines() { return lines; }

    private boolean line(String text, BiConsumer<String, String> event) {
        if (text.isEmpty()) {
            if (data.length() > 0) { event.accept(id, data.substring(0, data.length() - 1)); }
            data.setLength(0);
            id = null;
            return true;
        }
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? ""
            : text.substring(text.startsWith(" ", colon + 1) ? colon + 2 : colon + 1);
        if (name.equals("data")) { data.append(value).append('\n'); }
        if (name.equals("id")) { id = value; }
        return data.length() <= most;
    }
}
