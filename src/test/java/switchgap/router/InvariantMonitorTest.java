package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.server.platform.TestPlatformSettings;

/**
 * Checks that a violation of each invariant is reported, and that correct behaviour violates none.
 */
class InvariantMonitorTest implements ResponseListener {
  private static final Duration NOW = Duration.ofMillis(100);
  private static final Duration DEADLINE = Duration.ofSeconds(1);

  /** Index of the non-idempotent request class in the settings. */
  private static final int NON_IDEMPOTENT = 1;

  /** Index of the request class whose repeats workers drop for 1 s. */
  private static final int KEYED = 2;

  private final List<String> logLines = new ArrayList<>();
  private final RouterEvents events = RouterEvents.counting();
  private final InvariantMonitor monitor;
  private final WorkerEntry worker = new WorkerEntry("worker", "127.0.0.1", 1, 0);
  private final PendingRequest request = request(NON_IDEMPOTENT);
  private boolean clientDisconnected;

  InvariantMonitorTest() throws Exception {
    monitor = new InvariantMonitor(TestPlatformSettings.routerSettings(), events, logLines::add);
  }

  private PendingRequest request(int requestClass) {
    return PendingRequest.builder("request", "function", DEADLINE, this)
        .requestClass(requestClass)
        .build();
  }

  private Attempt addAttempt() {
    return request.addAttempt(worker, NOW);
  }

  private void checkBeforeSending(Attempt attempt) {
    monitor.beforeAttempt(attempt, Duration.ofMillis(500), NOW);
  }

  /** Calls the monitor as a defective program would, which violates an invariant. */
  private void violate(RouterInvariant invariant) {
    Attempt first = addAttempt();
    switch (invariant) {
      case ATTEMPT_AFTER_ANSWER -> {
        request.end(PendingRequest.State.ANSWERED);
        checkBeforeSending(first);
      }
      case ATTEMPT_FOR_DISCONNECTED_CLIENT -> {
        clientDisconnected = true;
        checkBeforeSending(first);
      }
      case ATTEMPT_TO_DRAINING_WORKER -> {
        worker.stopAccepting();
        checkBeforeSending(first);
      }
      case ATTEMPT_AFTER_DEADLINE -> monitor.beforeAttempt(first, Duration.ofMillis(1), DEADLINE);
      case TIMEOUT_PAST_DEADLINE -> monitor.beforeAttempt(first, Duration.ofMillis(1051), NOW);
      case RETRY_OF_NON_IDEMPOTENT, RETRY_AFTER_DEDUPLICATION_WINDOW, ATTEMPT_SENT_TWICE ->
          violateByRepeat(invariant, first);
      case LOAD_TO_DRAINING_WORKER -> {
        worker.stopAccepting();
        monitor.beforeLoad(worker, NOW);
      }
      case SECOND_ANSWER -> {
        monitor.beforeAnswer(request, NOW);
        monitor.beforeAnswer(request, NOW);
      }
      case CLOSED_UNANSWERED -> monitor.afterClose("c1", false, 1, NOW);
      case HEALTHY_WITHOUT_WORKERS -> monitor.beforeHealthy(false, NOW);
      default -> throw new IllegalArgumentException(invariant + " has no violation in this test");
    }
  }

  /** Repeats an attempt that must not be repeated. */
  private void violateByRepeat(RouterInvariant invariant, Attempt first) {
    switch (invariant) {
      case RETRY_OF_NON_IDEMPOTENT -> {
        // An attempt that timed out may have been executed.
        first.end(AttemptOutcome.TIMED_OUT);
        checkBeforeSending(addAttempt());
      }
      case RETRY_AFTER_DEDUPLICATION_WINDOW -> {
        PendingRequest keyed = request(KEYED);
        keyed.addAttempt(worker, NOW.minusMillis(1001)).end(AttemptOutcome.TIMED_OUT);
        checkBeforeSending(keyed.addAttempt(worker, NOW));
      }
      case ATTEMPT_SENT_TWICE -> {
        first.end(AttemptOutcome.NOT_SENT);
        checkBeforeSending(first);
      }
      default -> throw new IllegalArgumentException(invariant + " has no violation in this test");
    }
  }

  @ParameterizedTest
  @EnumSource
  void countsAndLogsEachViolation(RouterInvariant invariant) {
    violate(invariant);
    assertThat(events.counts())
        .containsEntry(RouterEvent.Kind.INVARIANT_VIOLATED + " " + invariant, 1L);
    assertThat(monitor.violations()).isEqualTo(1);
    assertThat(logLines).singleElement().asString().contains(invariant.name());
  }

  @Test
  void reportsNoViolationWithinTheSlack() {
    Attempt first = addAttempt();
    // Exceeds the 900 ms until the deadline by the allowed 150 ms.
    monitor.beforeAttempt(first, Duration.ofMillis(1050), NOW);
    first.end(AttemptOutcome.NOT_SENT);
    checkBeforeSending(addAttempt());
    PendingRequest keyed = request(KEYED);
    keyed.addAttempt(worker, NOW.minusMillis(1000)).end(AttemptOutcome.TIMED_OUT);
    checkBeforeSending(keyed.addAttempt(worker, NOW));
    monitor.beforeLoad(worker, NOW);
    monitor.beforeAnswer(request, NOW);
    monitor.afterClose("c2", true, 3, NOW);
    monitor.afterClose("c1", false, 0, NOW);
    monitor.beforeHealthy(true, NOW);
    assertThat(monitor.violations()).isZero();
    assertThat(logLines).isEmpty();
  }

  @Test
  void logsAtMostOneLineASecondAndCountsAllViolations() {
    for (int millis = 0; millis < 2500; millis += 10) {
      monitor.afterClose("c1", false, 1, Duration.ofMillis(millis));
    }
    assertThat(monitor.violations()).isEqualTo(250);
    assertThat(logLines).hasSize(3);
  }

  @Override
  public Duration disconnectedAt() {
    return clientDisconnected ? NOW.minusMillis(101) : null;
  }

  @Override
  public void responded(PendingRequest answered, Response response) {}

  @Override
  public void deadlineMissed(PendingRequest answered, Response lateResponse) {}
}
