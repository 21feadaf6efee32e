package switchgap.protocol.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Commands as arrays of bulk strings. */
final class RespCommandEncoder {
    private RespCommandEncoder() {}

    static byte[] of(String... words) { return with(null, words); }

    /** The words, and last the body where there is one. */
    static byte[] with(byte[] body, String... words) {
        StringBuilder s = new StringBuilder(96).append('*').append(
            words.length + (body == null ? 0 : 1)).append("\r\n");
        for (String w : words) { s.append('$').append(w.length()).append("\r\n").append(w).append("\r\n"); }
        if (body == null) { return s.toString().getBytes(StandardCharsets.ISO_8859_1); }
        s.append('$').append(body.length).append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream(s.length() + body.length + 2);
        all.writeBytes(s.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        all.write('\r');
        all.write('\n');
        return all.toByteArray();
    }
}
