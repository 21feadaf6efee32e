package switchgap.testbed.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.testbed.scenario.ScenarioLogWriter.IDEMPOTENT;
import static switchgap.testbed.scenario.ScenarioLogWriter.NON_IDEMPOTENT;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.testbed.invariant.Invariant;

/**
 * Each test writes the logs of a small scenario run, most with exactly one violation. The checker
 * has to report that violation and nothing else.
 */
class InvariantCheckerTest {
  @TempDir Path directory;
  private final ScenarioLogWriter logs = new ScenarioLogWriter();

  private InvariantChecker writeAndCheck(ScenarioLogWriter runLogs) throws IOException {
    runLogs.writeTo(directory);
    return InvariantChecker.read(directory);
  }

  private void assertOnlyViolation(Invariant invariant, String description) throws IOException {
    InvariantChecker checker = writeAndCheck(logs);
    assertThat(checker.violations()).hasSize(1);
    assertThat(checker.violations().get(0).invariant()).isEqualTo(invariant);
    assertThat(checker.violations().get(0).description()).contains(description);
  }

  @Test
  void reportsNothingWhenAllInvariantsHold() throws IOException {
    logs.successfulAttempt(100, "j0.1", IDEMPOTENT)
        .successfulAttempt(300, "j1.1", NON_IDEMPOTENT)
        .attemptSent(500, "j2.1", NON_IDEMPOTENT)
        .executionStarted(501, "j2.1", "lost-response")
        .attemptEnded(1490, "j2.1", "killed");

    InvariantChecker checker = writeAndCheck(logs);

    ByteArrayOutputStream report = new ByteArrayOutputStream();
    checker.print(new PrintStream(report, true, StandardCharsets.UTF_8));
    assertThat(checker.violations()).isEmpty();
    assertThat(report.toString(StandardCharsets.UTF_8))
        .contains("answers       kept    3 attempts; {finished=2, killed=1}");
  }

  @Test
  void reportsAttemptWithoutFinalResponse() throws IOException {
    logs.attemptSent(100, "j0.1", IDEMPOTENT).attemptEnded(1100, "j0.1", "gave-up");

    assertOnlyViolation(Invariant.FINAL_RESPONSE_IN_TIME, "j0.1 received no final response");
  }

  @Test
  void excusesMissingResponseWhenRouterWasKilled() throws IOException {
    logs.attemptSent(100, "j0.1", IDEMPOTENT).attemptEnded(300, "j0.1", "broken").routerKilled(300);

    assertThat(writeAndCheck(logs).violations()).isEmpty();
  }

  @Test
  void reportsResponseAfterDeadlineAndSlack() throws IOException {
    logs.attemptSent(100, "j0.1", IDEMPOTENT)
        .attemptEnded(1100, "j0.1", "gave-up")
        .lateResponse(1150, "j0.1", "finished");

    assertOnlyViolation(Invariant.FINAL_RESPONSE_IN_TIME, "50 ms after its deadline");
  }

  @Test
  void acceptsResponseAfterDeadlineWithinSlack() throws IOException {
    logs.attemptSent(100, "j0.1", IDEMPOTENT)
        .attemptEnded(1100, "j0.1", "gave-up")
        .lateResponse(1105, "j0.1", "finished");

    assertThat(writeAndCheck(logs).violations()).isEmpty();
  }

  @Test
  void reportsExecutionSentAfterFinalResponse() throws IOException {
    logs.successfulAttempt(100, "j0.1", IDEMPOTENT)
        .executionReceived(400, "j0.1", "second")
        .executionEnded(401, "second");

    assertOnlyViolation(Invariant.FINAL_RESPONSE_IN_TIME, "199 ms after its end");
  }

  @Test
  void reportsNonIdempotentRequestThatTakesEffectTwice() throws IOException {
    logs.attemptSent(100, "j0.1", NON_IDEMPOTENT)
        .executionStarted(101, "j0.1", "first")
        .executionEnded(200, "first")
        .executionStarted(210, "j0.1", "second")
        .executionEnded(220, "second")
        .attemptEnded(250, "j0.1", "finished");

    assertOnlyViolation(Invariant.NO_DUPLICATE_EFFECT, "j0 took effect 2 times");
  }

  @Test
  void reportsRejectionOfNonIdempotentRequestThatWasExecuted() throws IOException {
    logs.attemptSent(100, "j0.1", NON_IDEMPOTENT)
        .executionStarted(101, "j0.1", "first")
        .attemptEnded(900, "j0.1", "pushed-back");

    assertOnlyViolation(
        Invariant.NO_DUPLICATE_EFFECT, "was rejected although a worker had started to execute it");
  }

  @Test
  void reportsTwoExecutionsInFlight() throws IOException {
    logs.attemptSent(100, "j0.1", IDEMPOTENT)
        .executionStarted(101, "j0.1", "first")
        .executionStarted(150, "j0.1", "second")
        .executionEnded(200, "first")
        .executionEnded(201, "second")
        .attemptEnded(210, "j0.1", "finished");

    assertOnlyViolation(Invariant.NO_DUPLICATE_EFFECT, "had two executions in flight");
  }

  @Test
  void reportsSendToDrainingWorkerPastGrace() throws IOException {
    logs.routerNotifiedOfDraining(1000)
        .successfulAttempt(1400, "j0.1", IDEMPOTENT) // within the grace period
        .successfulAttempt(1600, "j1.1", IDEMPOTENT);

    assertOnlyViolation(
        Invariant.NO_SEND_TO_DRAINING_WORKER,
        "601 ms after the router was notified that the worker is draining or gone");
  }

  @Test
  void reportsColdWorkerThatReceivesMoreThanItsBudget() throws IOException {
    logs.coldWorkerStarted(0);
    for (int i = 0; i < 6; i++) { // 0.6 s of work; the budget is 0.54 s
      logs.successfulAttempt(100 + i * 150, "j" + i + ".1", IDEMPOTENT);
    }

    assertOnlyViolation(Invariant.SLOW_START, "% of its slow-start budget");
  }

  @Test
  void reportsLoadCommandsAboveQuota() throws IOException {
    logs.successfulAttempt(100, "j0.1", IDEMPOTENT)
        .successfulAttempt(200, "j1.1", IDEMPOTENT)
        .replicaLoaded(400)
        .replicaLoaded(401)
        .replicaLoaded(402);

    assertOnlyViolation(
        Invariant.LOAD_QUOTA, "sent 3 load commands within the window; its quota is 2.0,");
  }
}
