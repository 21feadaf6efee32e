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
 * For each invariant a mutant that violates it and the check that reports it; and one that violates
 * none.
 */
class InvariantMonitorTest implements ResponseListener {
  private static final Duration NOW = Duration.ofMillis(100);
  private static final Duration DEADLINE = Duration.ofSeconds(1);
  private static final int NON_IDEMPOTENT = 1; // index of the class in the settings

  private final List<String> lines = new ArrayList<>();
  private final RouterEvents events = RouterEvents.counting();
  private final InvariantMonitor invariants;
  private final WorkerEntry worker = new WorkerEntry("w", "127.0.0.1", 1, 0);
  private final PendingRequest request =
      PendingRequest.builder("r", "f", DEADLINE, this).requestClass(NON_IDEMPOTENT).build();
  private boolean clientGone;

  InvariantMonitorTest() throws Exception {
    invariants = new InvariantMonitor(TestPlatformSettings.routerSettings(), events, lines::add);
  }

  private Attempt attempt(int number) {
    Attempt attempt = request.addAttempt(worker, NOW);
    assertThat(attempt.number()).isEqualTo(number);
    return attempt;
  }

  private void sent(Attempt attempt) {
    invariants.beforeAttempt(attempt, Duration.ofMillis(500), NOW);
  }

  /** Does what a program would that does not keep the invariant. */
  private void violate(RouterInvariant invariant) {
    Attempt first = attempt(0);
    switch (invariant) {
      case ATTEMPT_AFTER_ANSWER -> {
        request.end(PendingRequest.State.ANSWERED);
        sent(first);
      }
      case ATTEMPT_FOR_DISCONNECTED_CLIENT -> {
        clientGone = true;
        sent(first);
      }
      case ATTEMPT_TO_DRAINING_WORKER -> {
        worker.stopAccepting();
        sent(first);
      }
      case ATTEMPT_AFTER_DEADLINE ->
          invariants.beforeAttempt(first, Duration.ofMillis(1), DEADLINE);
      case TIMEOUT_PAST_DEADLINE -> invariants.beforeAttempt(first, Duration.ofMillis(1051), NOW);
      case RETRY_OF_NON_IDEMPOTENT -> {
        first.end(AttemptOutcome.TIMED_OUT); // and may have been executed
        sent(attempt(1));
      }
      case ATTEMPT_SENT_TWICE -> {
        first.end(AttemptOutcome.NOT_SENT);
        sent(first);
      }
      case LOAD_TO_DRAINING_WORKER -> {
        worker.stopAccepting();
        invariants.beforeLoad(worker, NOW);
      }
      case SECOND_ANSWER -> {
        invariants.beforeAnswer(request, NOW);
        invariants.beforeAnswer(request, NOW);
      }
      case CLOSED_UNANSWERED -> invariants.afterClose("c1", false, 1, NOW);
      case HEALTHY_WITHOUT_WORKERS -> invariants.beforeHealthy(false, NOW);
      default -> throw new IllegalArgumentException(invariant + " has no mutant");
    }
  }

  @ParameterizedTest
  @EnumSource
  void eachViolationIsCountedAndLogged(RouterInvariant invariant) {
    violate(invariant);
    assertThat(events.counts())
        .containsEntry(RouterEvent.Kind.INVARIANT_VIOLATED + " " + invariant, 1L);
    assertThat(invariants.violations()).isEqualTo(1);
    assertThat(lines).singleElement().asString().contains(invariant.name());
  }

  @Test
  void behaviourWithinTheSlackIsNoViolation() {
    Attempt first = attempt(0);
    invariants.beforeAttempt(
        first, Duration.ofMillis(1050), NOW); // with the slack that the users grant
    first.end(AttemptOutcome.NOT_SENT);
    sent(attempt(1));
    invariants.beforeLoad(worker, NOW);
    invariants.beforeAnswer(request, NOW);
    invariants.afterClose("c2", true, 3, NOW);
    invariants.afterClose("c1", false, 0, NOW);
    invariants.beforeHealthy(true, NOW);
    assertThat(invariants.violations()).isZero();
    assertThat(lines).isEmpty();
  }

  @Test
  void atMostOneLineASecondIsLoggedAndAllViolationsAreCounted() {
    for (int millis = 0; millis < 2500; millis += 10) {
      invariants.afterClose("c1", false, 1, Duration.ofMillis(millis));
    }
    assertThat(invariants.violations()).isEqualTo(250);
    assertThat(lines).hasSize(3);
  }

  @Override
  public Duration disconnectedAt() {
    return clientGone ? NOW.minusMillis(101) : null;
  }

  @Override
  public void responded(PendingRequest to, Response response) {}

  @Override
  public void deadlineMissed(PendingRequest to, Response late) {}
}
