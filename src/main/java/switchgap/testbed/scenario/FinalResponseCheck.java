package switchgap.testbed.scenario;

import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.invariant.Invariant;

/**
 * Each attempt of a client receives one final response before its deadline, and nothing is sent to
 * a worker for it afterwards.
 */
final class FinalResponseCheck extends InvariantCheck {
  private int attempts;
  private int dueWhilePaused;

  FinalResponseCheck(ScenarioLog log) {
    super(Invariant.FINAL_RESPONSE_IN_TIME, log);
  }

  @Override
  void check() {
    for (ObservedAttempts.LateResponse response : log.attempts().lateResponses()) {
      violated(
          response.attemptId()
              + " got an answer "
              + response.lateBy() / MICROS_PER_MILLI
              + " ms after its limit, "
              + clientLine(response.line()));
    }
    for (ObservedAttempt attempt : log.attempts().all()) {
      attempts++;
      checkResponses(attempt);
      checkExecutions(attempt);
    }
  }

  private void checkResponses(ObservedAttempt attempt) {
    if (attempt.finalResponses() == 0 && !mayBeUnanswered(attempt)) {
      violated(
          attempt.id()
              + " got no final answer ("
              + attempt.outcomeWord()
              + "), "
              + clientLine(attempt.sentLine()));
    }
    if (attempt.finalResponses() > 1) {
      violated(
          attempt.id()
              + " got "
              + attempt.finalResponses()
              + " final answers, "
              + clientLine(attempt.endLine()));
    }
  }

  /**
   * Whether no response is no violation: the router was dead or could not be reached, or it was
   * paused at the deadline. A late response is a violation then all the same.
   */
  private boolean mayBeUnanswered(ObservedAttempt attempt) {
    if (attempt.endedAs(ClientOutcome.UNREACHABLE)
        || log.outages().wasDead(attempt.router(), attempt.sentAt(), attempt.deadline())) {
      return true;
    }
    boolean paused = log.outages().wasPaused(attempt.router(), attempt.deadline());
    dueWhilePaused += paused ? 1 : 0;
    return paused;
  }

  private void checkExecutions(ObservedAttempt attempt) {
    long end = attempt.finalResponses() > 0 ? attempt.endedAt() : attempt.deadline();
    for (ObservedExecution execution : attempt.executions()) {
      if (execution.arrivedAt() > end + log.slack()) {
        violated(
            attempt.id()
                + " was sent "
                + (execution.arrivedAt() - end) / MICROS_PER_MILLI
                + " ms after its end, "
                + fleetLine(execution.line()));
      }
    }
  }

  @Override
  String summary() {
    String summary = attempts + " calls; " + log.attempts().outcomeCounts();
    if (log.attempts().responsesWithinSlack() > 0) {
      summary +=
          "; "
              + log.attempts().responsesWithinSlack()
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
