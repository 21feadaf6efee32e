package switchgap.router;

import java.time.Duration;
import java.util.Map;

/**
 * A final answer. For FINISHED the worker's status, headers and body as they came; else status is 0 and
 * {@code comeBack}, which may be null, says when to try again.
 */
public record Response(Kind kind, int status, Map<String, String> headers, byte[] body, Duration comeBack) {
    /** The three ends that a call may have. */
    public enum Kind { FINISHED, PUSHED_BACK, KILLED }

    public static Response pushedBack(Duration comeBack) {
        return new Response(Kind.PUSHED_BACK, 0, Map.of(), new byte[0], comeBack);
    }

    public static Response killed() {
        return new Response(Kind.KILLED, 0, Map.of(), new byte[0], null);
    }

    public static Response finished(int status, Map<String, String> headers, byte[] body) {
        return new Response(Kind.FINISHED, status, headers, body, null);
    }
}
