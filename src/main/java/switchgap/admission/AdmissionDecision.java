package switchgap.admission;

import java.time.Duration;

/**
 * Whether an offered request is admitted.
 *
 * @param admitted false where a service level rejects the request
 * @param level the level that rejects it, FULL where it is admitted
 * @param retryAfter the delay after which the client may retry; null for no advice
 */
public record AdmissionDecision(boolean admitted, ServiceLevel level, Duration retryAfter) {
  static final AdmissionDecision ADMITTED = new AdmissionDecision(true, ServiceLevel.FULL, null);
}
