package switchgap.protocol.resp;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/** One answer of a worker: {@code ID WORD FIELDS BODY}. What its word proves is said in {@link #end()} and nowhere else. */
record WorkerReply(String id, String word, Map<String, String> fields, byte[] body) {
    private static final int MOST_NAME = 64; // bytes of an id, a tag or a word

    static WorkerReply of(byte[][] parts) throws RespDecoder.MalformedReplyException {
        if (parts.length != 4 || parts[0].length > MOST_NAME || parts[1].length > MOST_NAME) {
            throw new RespDecoder.MalformedReplyException(
                "an answer of " + parts.length + " parts, or an id or word too long");
        }
        return new WorkerReply(text(parts[0]), text(parts[1]), fields(text(parts[2])), parts[3]);
    }

    private static String text(byte[] b) { return new String(b, StandardCharsets.ISO_8859_1); }

    private static Map<String, String> fields(String s) throws RespDecoder.MalformedReplyException {
        if (s.equals("-") || s.isEmpty()) { return Map.of(); }
        Map<String, String> all = new HashMap<>();
        for (String f : s.split(",", -1)) {
            int eq = f.indexOf('=');
            if (eq <= 0) { throw new RespDecoder.MalformedReplyException("fields that can't be read"); }
            all.put(f.substring(0, eq), f.substring(eq + 1));
        }
        return all;
    }

    /** What the answer means, and by {@link AttemptOutcome#neverRan} what it proves; null: no word of the protocol. */
    AttemptOutcome end() {
        return switch (word) {
            case "data", "well" -> AttemptOutcome.SUCCEEDED;
            case "absent" -> AttemptOutcome.NOT_LOADED;    // never ran
            case "full" -> AttemptOutcome.REJECTED;      // never ran
            case "moot" -> AttemptOutcome.NOT_SENT;  // over before it came: never ran
            case "failed", "ill" -> AttemptOutcome.FAILED; // may have run
            default -> null;
        };
    }

    /** Copies that stand, with the end of an order. */
    int count() {
        return (int) number(fields.get("count"), 0);
    }

    /** What is told of the worker's load; {@code crowds}: whether the absence of a crowd means none. */
    LoadReport loads(boolean crowds) {
        double busy = Double.NaN;
        double held = Double.NaN;
        double queued = Double.NaN;
        for (String f : fields.getOrDefault("report", "").split(";")) {
            int colon = f.indexOf(':');
            if (colon < 0) { continue; }
            double v = number(f.substring(colon + 1), Double.NaN);
            switch (f.substring(0, colon)) {
                case "load_share", "util" -> busy = v;   // the settings' words, which reports bear, and the protocol page's
                case "concurrent", "inflight" -> held = v;
                case "depth", "queue" -> queued = v;
                default -> {} // no figure that the module hears of
            }
        }
        boolean tells = crowds && (word.equals("data") || word.equals("full"));
        return new LoadReport(busy, held, queued,
            tells ? (int) Math.max(0, number(fields.get("crowd"), 0)) : -1);
    }

    /** A figure within reason, or what stands for none: a peer's nonsense must not reach the module. */
    private static double number(String s, double none) {
        if (s == null || s.length() > 24) { return none; }
        try {
            double v = Double.parseDouble(s);
            return v >= 0 && v < 1e6 ? v : none;
        } catch (NumberFormatException x) {
            return none;
        }
    }
}
