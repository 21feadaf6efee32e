package switchgap.router;

import java.time.Duration;
import java.util.Map;

/**
 * A final answer. For FINISHED the worker's status, headers and body as they came; else status is 0 and
 * {@code comeBack}, which may be null, says when to try again.
 */
public record Answer(Kind kind, int status, Map<String, String> headers, byte[] body, Duration comeBack) {
    /** The three ends that a call may have. */
    public enum Kind { FINISHED, PUSHED_BACK, KILLED }

    public static Answer pushedBack(Duration comeBack) {
        return new Answer(Kind.PUSHED_BACK, 0, Map.of(), new byte[0], comeBack);
    }

    public static Answer killed() {
        return new Answer(Kind.KILLED, 0, Map.of(), new byte[0], null);
    }

    public static Answer finished(int status, Map<String, String> headers, byte[] body) {
        return new Answer(Kind.FINISHED, status, headers, body, null);
    }
}
