package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.failed;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.replicaLoaded;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadReport;

/** Retries of a request, its idempotency and its final response. */
class RetryPolicyTest {
  private static PolicyHarness afterError(Idempotency idempotency, DeduplicationScope scope) {
    return afterError(idempotency, scope, 0);
  }

  /** Fails the first attempt of request 0 and runs until after its deadline. */
  private static PolicyHarness afterError(
      Idempotency idempotency, DeduplicationScope scope, int function) {
    TestSettings settings = new TestSettings();
    settings.idempotency = idempotency;
    settings.deduplicationScope = scope;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 4))
        .at(10, events -> harness.requestArrives(events, 0, function));
    int primary = harness.firstWorker();
    return harness
        .at(60, events -> harness.attemptEnds(events, failed(0, primary).withDuration(50)))
        .until(2100);
  }

  @Test
  void retriesIdempotentRequestAtAnotherWorkerAfterError() throws IOException {
    afterError(Idempotency.IDEMPOTENT, DeduplicationScope.ALL).assertTrace("idempotent");
  }

  @Test
  void failsNonIdempotentRequestAfterErrorAndNeverRejectsIt() throws IOException {
    afterError(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL).assertTrace("non-idempotent");
  }

  @Test
  void retriesRequestWithIdempotencyKeyOnlyInItsDeduplicationScope() throws IOException {
    afterError(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE)
        .assertTrace("idempotency-key-zone");
    for (int function = 1; function < 8; function++) {
      // The zone of a worker is its number modulo 2.
      assertThat(
              afterError(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, function)
                  .workersSentTo()
                  .stream()
                  .map(worker -> worker % 2)
                  .distinct())
          .hasSize(1);
    }
  }

  @Test
  void doesNotRetryRequestWithIdempotencyKeyAfterDeduplicationWindow() {
    TestSettings settings = new TestSettings();
    settings.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness
        .at(1050, events -> harness.attemptEnds(events, failed(0, primary).withDuration(1040)))
        .until(2100);
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("reject") + harness.count("fail")).isEqualTo(1);
  }

  /**
   * The window is 1,000 ms less two ticks of 5 ms. A retry is allowed 980 ms after the first
   * attempt but not after 994 ms, whichever attempt ended. The last number of each array is the
   * expected number of attempts; the others are the times in ms, from the first attempt on, at
   * which attempts end.
   */
  @Test
  void countsDeduplicationWindowFromFirstAttemptThatMayHaveExecuted() {
    for (int[] ends : new int[][] {{980, 2}, {994, 1}, {500, 980, 3}, {500, 994, 2}}) {
      TestSettings settings = new TestSettings();
      settings.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
      PolicyHarness harness = new PolicyHarness(settings);
      harness
          .at(0, events -> list(events, 4))
          .at(10, events -> harness.requestArrives(events, 0, 0));
      for (int i = 0; i < ends.length - 1; i++) {
        int attempt = i;
        int worker = harness.sentTo(0);
        harness.at(
            10 + ends[i],
            events ->
                harness.attemptEnds(
                    events, failed(0, worker).withNumber(attempt).withDuration(50)));
      }
      assertThat(harness.count("send")).as(Arrays.toString(ends)).isEqualTo(ends[ends.length - 1]);
    }
  }

  /**
   * Guards against a repeat that is written after the window (review case 3): the limit of 1,000 ms
   * less two ticks of 5 ms is passed on with the attempt, which may have to wait.
   */
  @Test
  void limitsRepeatsWithIdempotencyKeyToTheDeduplicationWindow() {
    PolicyHarness harness = afterLostAttempt(900);
    assertThat(harness.count("limit request 0 to 1000 ms")).isEqualTo(1);
    assertThat(harness.count("send")).isEqualTo(2);
  }

  /** Guards against a request that waits for its deadline although it can't be sent any more. */
  @Test
  void answersAtOnceWhenRepeatWasNotSentWithinTheDeduplicationWindow() {
    PolicyHarness harness = afterLostAttempt(900);
    int worker = harness.sentTo(0);
    harness.at(
        1000,
        events ->
            events.attemptEnded(
                new AttemptResult(
                    0, 1, worker, AttemptOutcome.NOT_SENT, millis(100), false, LoadReport.NONE)));
    assertThat(harness.count("reject request 0")).isEqualTo(1);
  }

  /** Request 0 has an idempotency key, and its first attempt is lost at the given time. */
  private static PolicyHarness afterLostAttempt(int lostMillis) {
    TestSettings settings = new TestSettings();
    settings.idempotency = Idempotency.IDEMPOTENT_WITH_KEY;
    settings.latencyObjective = millis(1900);
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    return harness.at(
        lostMillis,
        events -> harness.attemptEnds(events, failed(0, primary).withDuration(lostMillis - 10)));
  }

  @Test
  void rejectsRequestBeforeDeadlineWhenReplicaIsNotLoadedInTime() throws IOException {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness
        .at(12, events -> harness.attemptEnds(events, notLoaded(0, primary).withDuration(2)))
        .until(2500);
    harness.assertTrace("rejected-before-deadline");
  }

  /**
   * After a pause, the router handles the end of the load at 2,003 ms, within the margin of two
   * ticks of 5 ms before the deadline at 2,010 ms.
   */
  @Test
  void doesNotSendRequestWithinDeadlineMargin() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness
        .at(0, events -> list(events, 1))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(12, events -> harness.attemptEnds(events, notLoaded(0, 0).withDuration(2)));
    harness.at(2003, events -> replicaLoaded(events, 0, 0, 1990));
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("reject request 0")).isEqualTo(1);
  }

  /** Requests that cannot be served in time, and their retries, would occupy all workers. */
  @Test
  void rejectsRequestOnArrivalWhenDeadlineIsTooNear() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness
        .at(0, events -> list(events, 3))
        .at(10, events -> harness.requestArrives(events, 0, 0, 90));
    assertThat(harness.count("reject request 0")).isEqualTo(1);
    assertThat(harness.count("send")).isZero();
  }

  @Test
  void doesNotRetryOrRejectRequestWhoseResponseHasStarted() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness
        .at(0, events -> list(events, 3))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(60, events -> events.responseStarted(0, 0))
        .until(5000);
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("reject") + harness.count("fail") + harness.count("cancel")).isZero();
    int worker = harness.sentTo(0);
    harness.at(
        5100,
        events ->
            events.attemptEnded(
                new AttemptResult(
                    0,
                    0,
                    worker,
                    AttemptOutcome.CONNECTION_LOST,
                    millis(5090),
                    true,
                    LoadReport.NONE)));
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("release request 0")).isEqualTo(1);
  }
}
