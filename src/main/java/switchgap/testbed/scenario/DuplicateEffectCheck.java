package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.invariant.Invariant;

/**
 * No request that must not be repeated takes effect twice, none that ran is rejected as if it had
 * not, and each attempt has one execution in flight at a time.
 */
final class DuplicateEffectCheck extends InvariantCheck {
  private int requestsWithRepeatedEffect;

  DuplicateEffectCheck(ScenarioLog log) {
    super(Invariant.NO_DUPLICATE_EFFECT, log);
  }

  @Override
  void check() {
    Map<String, List<String>> effectsByRequest = new HashMap<>();
    for (ObservedAttempt attempt : log.attempts()) {
      checkExecutions(attempt, effectsByRequest);
      if (repeatRule(attempt) == RepeatRule.RUN_ONCE
          && attempt.endedAs(ClientOutcome.REJECTED)
          && attempt.hasRun()) {
        violated(
            attempt.call
                + " was pushed back though an execution ran, "
                + clientLine(attempt.answeredLine));
      }
    }
    for (ObservedAttempt attempt : log.attempts()) {
      List<String> effects = effectsByRequest.remove(attempt.requestId);
      if (effects != null && effects.size() > 1 && repeatRule(attempt) != RepeatRule.RESTARTABLE) {
        requestsWithRepeatedEffect++;
        violated(
            attempt.requestId
                + " took effect "
                + effects.size()
                + " times: "
                + String.join(", ", effects));
      }
    }
  }

  private RepeatRule repeatRule(ObservedAttempt attempt) {
    return log.settings().requestClasses().get(attempt.requestClass).repeatRule();
  }

  private void checkExecutions(
      ObservedAttempt attempt, Map<String, List<String>> effectsByRequest) {
    for (int i = 0; i < attempt.executions.size(); i++) {
      ObservedExecution execution = attempt.executions.get(i);
      if (execution.started) {
        effectsByRequest
            .computeIfAbsent(attempt.requestId, id -> new ArrayList<>())
            .add(fleetLine(execution.line));
      }
      for (ObservedExecution earlier : attempt.executions.subList(0, i)) {
        if (earlier.endedAt > execution.arrivedAt + log.slack()) {
          violated(
              attempt.call
                  + " had two executions out, "
                  + fleetLine(earlier.line)
                  + " and :"
                  + execution.line);
        }
      }
    }
  }

  @Override
  String summary() {
    return log.executionCount()
        + " executions, "
        + log.startedCount()
        + " ran, "
        + log.droppedRepeats()
        + " repeats dropped, "
        + requestsWithRepeatedEffect
        + " jobs took effect twice";
  }
}
