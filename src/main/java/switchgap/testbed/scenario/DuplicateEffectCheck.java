package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.policy.api.Idempotency;
import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.invariant.Invariant;

/**
 * Checks that only idempotent requests take effect more than once, that a non-idempotent request
 * that a worker executed is not rejected (which would tell the client that a retry is harmless),
 * and that an attempt never has two executions in flight.
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
                + " was rejected although a worker had started to execute it, "
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
                  + " had two executions in flight, "
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
        + " started, "
        + log.executions().droppedRepeatCount()
        + " repeats dropped, "
        + requestsWithRepeatedEffectCount
        + " requests took effect more than once";
  }
}
