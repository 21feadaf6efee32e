package switchgap.testbed.soak;

import java.util.List;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** A non-idempotent request is executed at most once, unless its client sent it again. */
final class DuplicateExecutionCheck {
  private final ViolationRecorder violations;

  DuplicateExecutionCheck(ViolationRecorder violations) {
    this.violations = violations;
  }

  /** Checks all attempts of one request. */
  void check(ObservedRequest request, List<ReceivedAttempt> attempts) {
    long executions = attempts.stream().filter(ReceivedAttempt::executed).count();
    if (!request.isIdempotent() && !request.wasResent() && executions > 1) {
      violations.record(
          Invariant.NO_DUPLICATE_EFFECT,
          "request " + request.id() + " ran " + executions + " times and must not be repeated");
    }
  }
}
