package switchgap.policy.state;

import java.time.Duration;

/** Short names for arithmetic on spans of time. */
public final class Durations {
    /** One second. */
    public static final Duration SECOND = Duration.ofSeconds(1);

    private Durations() {}

    public static boolean isShorter(Duration a, Duration b) {
        return a.compareTo(b) < 0;
    }

    public static Duration min(Duration a, Duration b) {
        return isShorter(a, b) ? a : b;
    }

    public static Duration max(Duration a, Duration b) {
        return isShorter(a, b) ? b : a;
    }

    public static double toSeconds(Duration d) {
        return d.toNanos() / 1e9;
    }

    public static Duration scale(Duration d, double n) {
        return Duration.ofNanos((long) (d.toNanos() * n));
    }
}
