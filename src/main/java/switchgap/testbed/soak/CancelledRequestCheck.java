package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** No attempt starts once the client has cancelled the request or closed its connection. */
final class CancelledRequestCheck implements AttemptCheck {
  private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final ViolationRecorder violations;

  CancelledRequestCheck(ViolationRecorder violations) {
    this.violations = violations;
  }

  @Override
  public void check(ReceivedAttempt attempt, ObservedRequest request) {
    long delay = attempt.receivedNanos() - request.cancelledNanos();
    boolean cancelled = request.cancelledNanos() != 0;
    if (cancelled && delay > GRACE_NANOS + CheckTolerances.MEASUREMENT_NANOS) {
      violations.record(
          Invariant.NO_ATTEMPT_AFTER_CANCELLATION,
          AttemptCheck.describe(attempt, request)
              + " begun "
              + CheckTolerances.toMillis(delay)
              + " ms after its client left");
    }
  }
}
