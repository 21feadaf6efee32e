package switchgap.testbed.scenario;

import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.invariant.Invariant;

/**
 * Checks that each attempt of a client receives exactly one final response, by its deadline, and
 * that no worker receives a request for the attempt after that response.
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
              + " received a response "
              + response.delay() / MICROS_PER_MILLI
              + " ms after its deadline, "
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
              + " received no final response (outcome: "
              + attempt.outcomeWord()
              + "), "
              + clientLine(attempt.sentLineNumber()));
    }
    if (attempt.finalResponseCount() > 1) {
      recordViolation(
          attempt.id()
              + " received "
              + attempt.finalResponseCount()
              + " final responses, "
              + clientLine(attempt.endLineNumber()));
    }
  }

  /**
   * Whether a missing response is not a violation, because the router was down or unreachable, or
   * was paused at the deadline. A response after the deadline and the slack remains a violation.
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
                + " was sent to a worker "
                + (execution.receivedAt() - attemptEnd) / MICROS_PER_MILLI
                + " ms after its end, "
                + fleetLine(execution.lineNumber()));
      }
    }
  }

  @Override
  String summary() {
    String summary = attemptCount + " attempts; " + log.attempts().outcomeCounts();
    if (log.attempts().responsesWithinSlackCount() > 0) {
      summary +=
          "; "
              + log.attempts().responsesWithinSlackCount()
              + " responses arrived after the deadline, within the slack of "
              + log.slack() / MICROS_PER_MILLI
              + " ms";
    }
    if (deadlineDuringPauseCount > 0) {
      summary +=
          "; "
              + deadlineDuringPauseCount
              + " unanswered attempts reached their deadline while their router was paused";
    }
    return summary;
  }
}
