package switchgap.admission;

import java.time.Duration;

/** What becomes of an offered call: it passes, or the rung pushes it back with a come-back time that may be null. */
public record AdmissionDecision(boolean admitted, ServiceLevel level, Duration retryAfter) {
    static final AdmissionDecision ADMITTED = new AdmissionDecision(true, ServiceLevel.FULL, null);
}
