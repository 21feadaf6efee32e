package switchgap.policy.state;

import java.time.Duration;

/** Short names for arithmetic on spans of time. */
public final class Durations {
    private Durations() { }

    public static boolean less(Duration a, Duration b) {
        return a.compareTo(b) < 0;
    }

    public static Duration least(Duration a, Duration b) {
        return less(a, b) ? a : b;
    }

    public static Duration most(Duration a, Duration b) {
        return less(a, b) ? b : a;
    }

    public static double seconds(Duration d) {
        return d.toNanos() / 1e9;
    }

    public static Duration times(Duration d, double n) {
        return Duration.ofNanos((long) (d.toNanos() * n));
    }
}
