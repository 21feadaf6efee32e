package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.router.RouterCoreHarness.IDEMPOTENT;
import static switchgap.router.RouterCoreHarness.NON_IDEMPOTENT;
import static switchgap.router.RouterCoreHarness.Observation.ACCEPTED;
import static switchgap.router.RouterCoreHarness.Observation.ATTEMPT_ABANDONED;
import static switchgap.router.RouterCoreHarness.Observation.DEADLINE_MISSED;
import static switchgap.router.RouterCoreHarness.Observation.FAILED;
import static switchgap.router.RouterCoreHarness.Observation.NOT_ACCEPTED;
import static switchgap.router.RouterCoreHarness.Observation.REJECTED;
import static switchgap.router.RouterCoreHarness.Observation.SUCCEEDED;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.WorkerState;
import switchgap.testing.EndpointUpdateBuilder;

/**
 * Tests deadlines, pauses of the process, late results and cancellations, and that the core keeps
 * no request that has ended.
 */
class RouterCoreTest {
  private static final String FUNCTION = "f";

  private final RouterCoreHarness harness = new RouterCoreHarness();

  private void assertNoRequestRemains() {
    assertThat(harness.core().pendingRequests()).isZero();
    assertThat(harness.core().trackedRequests()).isZero();
  }

  @Test
  void sendsNothingAfterAPausePastTheDeadline() {
    harness.postReadyWorkers("a", "b");
    PendingRequest inFlight = harness.postRequest(NON_IDEMPOTENT, FUNCTION);
    harness.tickAt(0);
    assertThat(harness.sentAttempts()).hasSize(1);
    PendingRequest offeredBeforePause = harness.postRequest(IDEMPOTENT, FUNCTION);
    // The response arrives during the pause.
    harness.postSuccess(harness.sentAttempts().get(0));

    harness.tickAt(2000);

    assertThat(harness.observations())
        .contains(DEADLINE_MISSED)
        .doesNotContain(SUCCEEDED, FAILED, REJECTED);
    assertThat(inFlight.state()).isEqualTo(PendingRequest.State.DEADLINE_EXCEEDED);
    assertThat(offeredBeforePause.state())
        .isIn(PendingRequest.State.DEADLINE_EXCEEDED, PendingRequest.State.NOT_ACCEPTED);
    assertThat(harness.sentAttempts()).hasSize(1);
    assertNoRequestRemains();
  }

  /**
   * Guards against silence at the deadline: on a busy machine, the timer that ends an attempt was
   * handled later than the time that was left for the final response.
   */
  @Test
  void answersBeforeTheDeadlineThoughTimersAreLate() {
    harness.postReadyWorkers("a");
    harness.tickAt(0);
    harness.runLateUntil(2000, 40);
    harness.tickAt(2099);
    harness.postRequest(NON_IDEMPOTENT, FUNCTION);
    harness.tickAt(2100);
    harness.runLateUntil(4000, 40);
    assertThat(harness.observations()).containsExactly(ACCEPTED, ATTEMPT_ABANDONED, FAILED);
    assertNoRequestRemains();
  }

  @Test
  void usesTheWholeTimeAgainOnceTimersArePunctual() {
    harness.postReadyWorkers("a");
    harness.tickAt(0);
    harness.runLateUntil(2000, 40);
    harness.runLateUntil(14_000, 0);
    harness.tickAt(14_099);
    harness.postRequest(NON_IDEMPOTENT, FUNCTION);
    harness.tickAt(14_100);
    harness.runUntil(14_980);
    harness.postSuccess(harness.sentAttempts().get(0));
    harness.tickAt(14_985);
    assertThat(harness.observations()).containsExactly(ACCEPTED, SUCCEEDED);
  }

  @Test
  void discardsALateResponseOfAnAttemptThatTimedOut() {
    harness.postReadyWorkers("a");
    harness.postRequest(NON_IDEMPOTENT, FUNCTION);
    harness.tickAt(0);
    harness.runUntil(1000);
    assertThat(harness.observations()).containsExactly(ACCEPTED, ATTEMPT_ABANDONED, FAILED);

    harness.postSuccess(harness.sentAttempts().get(0));
    harness.tickAt(1100);

    assertThat(harness.observations()).containsExactly(ACCEPTED, ATTEMPT_ABANDONED, FAILED);
    assertThat(harness.core().trackedRequests()).isZero();
  }

  @Test
  void answersTenThousandPendingRequestsBeforeTheirDeadlines() {
    harness.postReadyWorkers("a", "b", "c");
    harness.tickAt(0);
    for (int i = 0; i < 10_000; i++) {
      harness.postRequest(i % 2 == 0 ? IDEMPOTENT : NON_IDEMPOTENT, FUNCTION);
    }
    harness.tickAt(1);

    harness.runUntil(899);

    assertThat(harness.count(ACCEPTED)).isEqualTo(10_000);
    assertThat(harness.count(FAILED) + harness.count(REJECTED)).isEqualTo(10_000);
    assertNoRequestRemains();
  }

  @Test
  void rejectsWhenTheAttemptWasNeverSent() {
    // The attempt waits for a connection until its timeout.
    harness.setAbandonOutcome(AttemptOutcome.NOT_SENT);
    harness.postReadyWorkers("a");
    harness.postRequest(NON_IDEMPOTENT, FUNCTION);
    harness.tickAt(0);

    harness.runUntil(1000);

    assertThat(harness.observations()).contains(REJECTED).doesNotContain(FAILED);
  }

  @Test
  void abandonsTheAttemptOfACancelledRequestAndSendsNoResponse() {
    harness.postReadyWorkers("a");
    PendingRequest request = harness.postRequest(NON_IDEMPOTENT, FUNCTION);
    harness.tickAt(0);

    harness.post(router -> router.requestCancelled(request));
    harness.tickAt(5);
    harness.tickAt(6);

    assertThat(harness.observations()).containsExactly(ACCEPTED, ATTEMPT_ABANDONED);
    assertNoRequestRemains();
  }

  @Test
  void rejectsRequestWaitingForALoadWhenTheOnlyWorkerDrains() {
    harness.postReadyWorkers("a");
    harness.tickAt(0);
    harness.postRequest(NON_IDEMPOTENT, FUNCTION);
    harness.tickAt(1);
    Attempt notLoaded = harness.sentAttempts().get(0);
    harness.post(
        router -> router.attemptEnded(notLoaded, AttemptOutcome.NOT_LOADED, LoadReport.NONE, null));
    // The tick sends a load command, whose result is discarded so that the command does not end.
    harness.tickAt(2);
    harness.discardPostedEvents();
    EndpointUpdate draining = EndpointUpdateBuilder.worker("a").state(WorkerState.DRAINING).build();
    harness.post(router -> router.endpointListReceived(false, List.of(draining)));
    harness.tickAt(10);

    harness.runUntil(890);

    assertThat(harness.sentAttempts()).hasSize(1);
    // NOT_LOADED proves that the request was not executed.
    assertThat(harness.observations()).contains(REJECTED).doesNotContain(FAILED);
    assertThat(harness.core().pendingRequests()).isZero();
  }

  @Test
  void doesNotAcceptRequestsForMoreFunctionsThanTheLimit() {
    harness.postReadyWorkers("a");
    harness.postRequest(IDEMPOTENT, "f1");
    harness.postRequest(IDEMPOTENT, "f2");
    harness.postRequest(IDEMPOTENT, "f3");

    harness.tickAt(0);

    assertThat(harness.observations()).containsExactly(ACCEPTED, ACCEPTED, NOT_ACCEPTED);
  }

  /** Guards against new functions that are refused while others are idle (review case 6). */
  @Test
  void acceptsRequestForNewFunctionAtTheLimitOnceAnotherFunctionIsIdle() {
    harness.postReadyWorkers("a");
    PendingRequest cancelled = harness.postRequest(IDEMPOTENT, "f1");
    harness.postRequest(IDEMPOTENT, "f2");
    harness.tickAt(0);
    harness.post(router -> router.requestCancelled(cancelled));
    harness.tickAt(100);
    harness.postRequest(IDEMPOTENT, "f3");
    harness.postRequest(IDEMPOTENT, "f4");

    harness.tickAt(200);

    assertThat(harness.observations())
        .containsSubsequence(ACCEPTED, ACCEPTED, ACCEPTED, NOT_ACCEPTED);
  }

  @Test
  void ignoresTheProbeResultOfARemovedWorkerWhoseIndexIsReassigned() {
    harness.postReadyWorkers("a");
    harness.tickAt(0);
    // Index 0 has been reassigned to another worker.
    WorkerEntry removedWorker = new WorkerEntry("gone", "h", 1, 0);
    WorkerCommand probe =
        new WorkerCommand(removedWorker, WorkerCommand.NO_FUNCTION, Duration.ZERO);
    LoadReport overloaded = new LoadReport(1, 99, 99, -1);
    harness.post(router -> router.probeEnded(probe, AttemptOutcome.SUCCEEDED, overloaded));
    harness.tickAt(1);

    harness.postRequest(IDEMPOTENT, FUNCTION);
    harness.tickAt(2);

    assertThat(harness.sentAttempts()).hasSize(1);
  }
}
