package switchgap.testbed.scenario;

import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.invariant.Invariant;

/**
 * Each attempt of a client receives one final response before its deadline, and nothing is sent to
 * a worker for it afterwards.
 */
final class FinalResponseCheck extends InvariantCheck {
  private int attemptCount;
  private int deadlineDuringPauseCount;

  FinalResponseCheck(ScenarioLog log) {
    super(Invariant.FINAL_RESPONSE_IN_TIME, log);
  }

  @Override
  void check() {
    for (ObservedAttempts.LateResponse response : log.attempts().lateResponses()) {
      recordViolation(
          response.attemptId()
              + " got an answer "
              + response.delay() / MICROS_PER_MILLI
              + " ms after its limit, "
              + clientLine(response.lineNumber()));
    }
    for (ObservedAttempt attempt : log.attempts().all()) {
      attemptCount++;
      checkResponses(attempt);
      checkExecutions(attempt);
    }
  }

  private void checkResponses(ObservedAttempt attempt) {
    if (attempt.finalResponseCount() == 0 && !isMissingResponseExcused(attempt)) {
      recordViolation(
          attempt.id()
              + " got no final answer ("
              + attempt.outcomeWord()
              + "), "
              + clientLine(attempt.sentLineNumber()));
    }
    if (attempt.finalResponseCount() > 1) {
      recordViolation(
          attempt.id()
              + " got "
              + attempt.finalResponseCount()
              + " final answers, "
              + clientLine(attempt.endLineNumber()));
    }
  }

  /**
   * Whether no response is no violation: the router was dead or could not be reached, or it was
   * paused at the deadline. A late response is a violation then all the same.
   */
  private boolean isMissingResponseExcused(ObservedAttempt attempt) {
    if (attempt.endedAs(ClientOutcome.UNREACHABLE)
        || log.outages().wasDown(attempt.router(), attempt.sentAt(), attempt.deadline())) {
      return true;
    }
    boolean paused = log.outages().wasPaused(attempt.router(), attempt.deadline());
    deadlineDuringPauseCount += paused ? 1 : 0;
    return paused;
  }

  private void checkExecutions(ObservedAttempt attempt) {
    long attemptEnd = attempt.finalResponseCount() > 0 ? attempt.endedAt() : attempt.deadline();
    for (ObservedExecution execution : attempt.executions()) {
      if (execution.receivedAt() > attemptEnd + log.slack()) {
        recordViolation(
            attempt.id()
                + " was sent "
                + (execution.receivedAt() - attemptEnd) / MICROS_PER_MILLI
                + " ms after its end, "
                + fleetLine(execution.lineNumber()));
      }
    }
  }

  @Override
  String summary() {
    String summary = attemptCount + " calls; " + log.attempts().outcomeCounts();
    if (log.attempts().responsesWithinSlackCount() > 0) {
      summary +=
          "; "
              + log.attempts().responsesWithinSlackCount()
              + " answers were seen past the limit, within the slack of "
              + log.slack() / MICROS_PER_MILLI
              + " ms";
    }
    if (deadlineDuringPauseCount > 0) {
      summary += "; " + deadlineDuringPauseCount + " fell due while their router was stopped";
    }
    return summary;
  }
}
