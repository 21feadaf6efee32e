package switchgap.testbed.soak;

import java.util.List;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** Checks that a non-idempotent request runs at most once, unless its client sent it again. */
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
          "non-idempotent request " + request.id() + " was executed " + executions + " times");
    }
  }
}
