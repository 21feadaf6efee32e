package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.admission.ServiceLevel;

/**
 * How a request ended, which its problem tells the client in members that a program may act on.
 *
 * @param end {@link ProblemType#REJECTED} or {@link ProblemType#FAILED}
 * @param retryHarmless whether it is certain that the request was not executed
 * @param shedBy the service level that rejected it, or null
 * @param retryAfter when the client may retry, or null where that is not known
 */
record ProblemOutcome(
    ProblemType end, boolean retryHarmless, ServiceLevel shedBy, Duration retryAfter) {
  /** Of a request that was never executed. */
  static ProblemOutcome rejected(ServiceLevel shedBy, Duration retryAfter) {
    return new ProblemOutcome(ProblemType.REJECTED, true, shedBy, retryAfter);
  }

  /** Of a request that may have been executed. */
  static ProblemOutcome failed() {
    return new ProblemOutcome(ProblemType.FAILED, false, null, null);
  }
}
