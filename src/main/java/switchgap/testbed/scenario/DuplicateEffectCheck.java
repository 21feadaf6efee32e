package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.policy.api.Idempotency;
import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.invariant.Invariant;

/**
 * Only idempotent requests may take effect twice, a non-idempotent request that was executed is not
 * rejected as if it had not been, and each attempt has one execution in flight at a time.
 */
final class DuplicateEffectCheck extends InvariantCheck {
  private int requestsWithRepeatedEffectCount;

  DuplicateEffectCheck(ScenarioLog log) {
    super(Invariant.NO_DUPLICATE_EFFECT, log);
  }

  @Override
  void check() {
    Map<String, List<String>> effectsByRequest = new HashMap<>();
    for (ObservedAttempt attempt : log.attempts().all()) {
      checkExecutions(attempt, effectsByRequest);
      if (idempotency(attempt) == Idempotency.NON_IDEMPOTENT
          && attempt.endedAs(ClientOutcome.REJECTED)
          && attempt.wasExecuted()) {
        recordViolation(
            attempt.id()
                + " was pushed back though an execution ran, "
                + clientLine(attempt.endLineNumber()));
      }
    }
    for (ObservedAttempt attempt : log.attempts().all()) {
      List<String> effects = effectsByRequest.remove(attempt.requestId());
      if (effects != null && effects.size() > 1 && idempotency(attempt) != Idempotency.IDEMPOTENT) {
        requestsWithRepeatedEffectCount++;
        recordViolation(
            attempt.requestId()
                + " took effect "
                + effects.size()
                + " times: "
                + String.join(", ", effects));
      }
    }
  }

  private Idempotency idempotency(ObservedAttempt attempt) {
    return log.settings().requestClasses().get(attempt.requestClass()).idempotency();
  }

  private void checkExecutions(
      ObservedAttempt attempt, Map<String, List<String>> effectsByRequest) {
    for (int i = 0; i < attempt.executions().size(); i++) {
      ObservedExecution execution = attempt.executions().get(i);
      if (execution.isStarted()) {
        effectsByRequest
            .computeIfAbsent(attempt.requestId(), id -> new ArrayList<>())
            .add(fleetLine(execution.lineNumber()));
      }
      for (ObservedExecution earlier : attempt.executions().subList(0, i)) {
        if (earlier.isInFlightAt(execution.receivedAt() + log.slack())) {
          recordViolation(
              attempt.id()
                  + " had two executions out, "
                  + fleetLine(earlier.lineNumber())
                  + " and :"
                  + execution.lineNumber());
        }
      }
    }
  }

  @Override
  String summary() {
    return log.executions().receivedCount()
        + " executions, "
        + log.executions().startedCount()
        + " ran, "
        + log.executions().droppedRepeatCount()
        + " repeats dropped, "
        + requestsWithRepeatedEffectCount
        + " jobs took effect twice";
  }
}
