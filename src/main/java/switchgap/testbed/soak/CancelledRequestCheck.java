package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** Checks that no attempt starts after the client cancelled the request or disconnected. */
final class CancelledRequestCheck implements AttemptCheck {
  private static final long CANCELLATION_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final ViolationRecorder violations;

  CancelledRequestCheck(ViolationRecorder violations) {
    this.violations = violations;
  }

  @Override
  public void check(ReceivedAttempt attempt, ObservedRequest request) {
    long delayNanos = attempt.receivedNanos() - request.cancelledNanos();
    boolean cancelled = request.cancelledNanos() != 0;
    if (cancelled
        && delayNanos > CANCELLATION_GRACE_NANOS + CheckTolerances.MEASUREMENT_ERROR_NANOS) {
      violations.record(
          Invariant.NO_ATTEMPT_AFTER_CANCELLATION,
          AttemptCheck.describe(attempt, request)
              + " arrived "
              + CheckTolerances.toMillis(delayNanos)
              + " ms after the client cancelled or disconnected");
    }
  }
}
