package switchgap.testbed.scenario;

import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.invariant.Invariant;

/**
 * Each attempt gets one final response before its deadline, and nothing is sent to a worker for it
 * afterwards.
 */
final class FinalResponseCheck extends InvariantCheck {
  private int attempts;
  private int dueWhilePaused;

  FinalResponseCheck(ScenarioLog log) {
    super(Invariant.FINAL_RESPONSE_IN_TIME, log);
  }

  @Override
  void check() {
    for (ScenarioLog.LateResponse response : log.lateResponses()) {
      violated(
          response.call()
              + " got an answer "
              + response.lateBy() / MICROS_PER_MILLI
              + " ms after its limit, "
              + clientLine(response.line()));
    }
    for (ObservedAttempt attempt : log.attempts()) {
      attempts++;
      checkResponses(attempt);
      checkExecutions(attempt);
    }
  }

  private void checkResponses(ObservedAttempt attempt) {
    if (attempt.finalResponses == 0 && !mayBeUnanswered(attempt)) {
      violated(
          attempt.call
              + " got no final answer ("
              + attempt.end
              + "), "
              + clientLine(attempt.sentLine));
    }
    if (attempt.finalResponses > 1) {
      violated(
          attempt.call
              + " got "
              + attempt.finalResponses
              + " final answers, "
              + clientLine(attempt.answeredLine));
    }
  }

  /**
   * A router that is paused can't answer what falls due meanwhile: silence is right then, a late
   * answer is not.
   */
  private boolean mayBeUnanswered(ObservedAttempt attempt) {
    if (attempt.endedAs(ClientOutcome.UNREACHABLE)
        || log.outages().wasDead(attempt.router, attempt.sentAt, attempt.deadline)) {
      return true;
    }
    boolean paused = log.outages().wasPaused(attempt.router, attempt.deadline);
    dueWhilePaused += paused ? 1 : 0;
    return paused;
  }

  private void checkExecutions(ObservedAttempt attempt) {
    long end = attempt.finalResponses > 0 ? attempt.answeredAt : attempt.deadline;
    for (ObservedExecution execution : attempt.executions) {
      if (execution.arrivedAt > end + log.slack()) {
        violated(
            attempt.call
                + " was sent "
                + (execution.arrivedAt - end) / MICROS_PER_MILLI
                + " ms after its end, "
                + fleetLine(execution.line));
      }
    }
  }

  @Override
  String summary() {
    String summary = attempts + " calls; " + log.endCounts();
    if (log.responsesWithinSlack() > 0) {
      summary +=
          "; "
              + log.responsesWithinSlack()
              + " answers were seen past the limit, within the slack of "
              + log.slack() / MICROS_PER_MILLI
              + " ms";
    }
    if (dueWhilePaused > 0) {
      summary += "; " + dueWhilePaused + " fell due while their router was stopped";
    }
    return summary;
  }
}
