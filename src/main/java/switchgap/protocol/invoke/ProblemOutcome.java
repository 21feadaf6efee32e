package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.admission.ServiceLevel;

/**
 * How a request ended; written to the problem details as members that a program can evaluate.
 *
 * @param end {@link ProblemType#REJECTED} or {@link ProblemType#FAILED}
 * @param safeToRetry whether it is certain that the request was not executed
 * @param shedBy the service level that rejected it, or null
 * @param retryAfter time after which the client may retry, or null if that is not known
 */
record ProblemOutcome(
    ProblemType end, boolean safeToRetry, ServiceLevel shedBy, Duration retryAfter) {
  /** The outcome of a request that was never executed. */
  static ProblemOutcome rejected(ServiceLevel shedBy, Duration retryAfter) {
    return new ProblemOutcome(ProblemType.REJECTED, true, shedBy, retryAfter);
  }

  /** The outcome of a request that may have been executed. */
  static ProblemOutcome failed() {
    return new ProblemOutcome(ProblemType.FAILED, false, null, null);
  }
}
