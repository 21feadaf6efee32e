package switchgap.level;

import java.time.Duration;

/** What becomes of an offered call: it passes, or the rung pushes it back with a come-back time that may be null. */
public record Verdict(boolean passes, Rung rung, Duration comeBack) {
    static final Verdict PASSES = new Verdict(true, Rung.FULL, null);
}
