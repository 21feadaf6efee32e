package switchgap.admission;

import java.time.Duration;

/**
 * The decision on an offered request.
 *
 * @param admitted false if a service level rejects the request
 * @param level the level that rejects the request; FULL if it is admitted
 * @param retryAfter the delay after which the client may retry; null for no advice
 */
public record AdmissionDecision(boolean admitted, ServiceLevel level, Duration retryAfter) {
  static final AdmissionDecision ADMITTED = new AdmissionDecision(true, ServiceLevel.FULL, null);
}
