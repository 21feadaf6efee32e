package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.WorkerState;

/** The core on a clock that the test moves: limits, pauses, late ends, and nothing left behind. */
class RouterCoreTest implements WorkerTransport, ResponseListener {
  private static final String TERMS =
      """
      router: {number: 0, of: 1, tick: 5ms, executions: 3}
      workloads:
        again: {start_target: 300ms, time_limit: 900ms, repeat: restartable}
        once: {start_target: 300ms, time_limit: 900ms, repeat: run-once}
      functions: {f: {workload: again, memory: 1, lanes: 100}}
      """;
  private final List<Consumer<RouterCore>> next = new ArrayList<>();
  private final List<Attempt> sent = new ArrayList<>();
  private final List<String> said = new ArrayList<>();
  private final RouterCore core =
      new RouterCore(
          new YamlRouterSettings(YamlDocument.read("t", TERMS)),
          1,
          this,
          new CoreLimits(ms(500), ms(50), 2));
  private Duration at = Duration.ZERO;
  private AttemptOutcome proves = AttemptOutcome.TIMED_OUT;

  private static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  private void at(long millis) {
    at = ms(millis);
    List<Consumer<RouterCore>> now = List.copyOf(next);
    next.clear();
    core.tick(at, now);
  }

  /** Rounds at the times that the core asks for. */
  private void until(long millis) {
    for (Duration d = core.nextDue();
        d != null && d.compareTo(ms(millis)) <= 0;
        d = core.nextDue()) {
      at(Math.max(at.toMillis(), (d.toNanos() + 999_999) / 1_000_000));
    }
  }

  private void list(String... names) {
    List<EndpointUpdate> all = new ArrayList<>();
    for (String n : names) {
      all.add(new EndpointUpdate(n, "h", 1, WorkerState.READY, 0, 0, 0, 1, null));
    }
    next.add(core -> core.endpointListReceived(true, all));
  }

  private PendingRequest call(int workload, String function) {
    PendingRequest request =
        PendingRequest.builder("c" + said.size(), function, at.plus(ms(900)), this)
            .requestClass(workload)
            .replica(1, 100)
            .build();
    next.add(router -> said.add(router.accept(request) ? "taken" : "not taken"));
    return request;
  }

  private void finish(Attempt attempt) {
    next.add(
        core ->
            core.attemptEnded(
                attempt,
                AttemptOutcome.SUCCEEDED,
                LoadReport.NONE,
                Response.succeeded(200, Map.of(), new byte[0])));
  }

  @Test
  void aPauseOverALimitEndsInSilenceAndSendsNothing() {
    list("a", "b");
    PendingRequest request = call(1, "f");
    at(0);
    assertThat(sent).hasSize(1);
    PendingRequest waits = call(0, "f");
    finish(sent.get(0)); // came during the pause
    at(2000);
    assertThat(said).contains("overdue").doesNotContain("SUCCEEDED", "FAILED", "REJECTED");
    assertThat(request.state()).isEqualTo(PendingRequest.State.DEADLINE_EXCEEDED);
    assertThat(waits.state())
        .isIn(PendingRequest.State.DEADLINE_EXCEEDED, PendingRequest.State.NOT_ACCEPTED);
    assertThat(sent).hasSize(1);
    assertThat(core.pendingRequests()).isZero();
    assertThat(core.unsettledRequests()).isZero();
  }

  @Test
  void theFirstEndOfAnExecutionCountsAndALateOneReachesNobody() {
    list("a");
    call(1, "f");
    at(0);
    until(1000);
    assertThat(said).containsExactly("taken", "abandoned", "FAILED");
    finish(sent.get(0));
    at(1100);
    assertThat(said).containsExactly("taken", "abandoned", "FAILED");
    assertThat(core.unsettledRequests()).isZero();
  }

  @Test
  void tenThousandHeldCallsAllEndBeforeTheirLimitsAndNothingIsLeft() {
    list("a", "b", "c");
    at(0);
    for (int i = 0; i < 10_000; i++) {
      call(i % 2, "f");
    }
    at(1);
    until(899);
    assertThat(said.stream().filter("taken"::equals).count()).isEqualTo(10_000);
    assertThat(said.stream().filter(s -> s.equals("FAILED") || s.equals("REJECTED")).count())
        .isEqualTo(10_000);
    assertThat(core.pendingRequests()).isZero();
    assertThat(core.unsettledRequests()).isZero();
  }

  @Test
  void anExecutionThatNeverWentOutIsNoReasonToKill() {
    proves = AttemptOutcome.NOT_SENT; // it waited for a connection until its time-out
    list("a");
    call(1, "f");
    at(0);
    until(1000);
    assertThat(said).contains("REJECTED").doesNotContain("FAILED");
  }

  @Test
  void aClientThatLeftGetsNothingAndItsExecutionIsAbandoned() {
    list("a");
    PendingRequest request = call(1, "f");
    at(0);
    next.add(router -> router.requestCancelled(request));
    at(5);
    at(6);
    assertThat(said).containsExactly("taken", "abandoned");
    assertThat(core.pendingRequests()).isZero();
    assertThat(core.unsettledRequests()).isZero();
  }

  @Test
  void aDrainWithCallsWaitingForThatWorkersLoadSendsThemElsewhereOrGivesThemUp() {
    list("a");
    at(0);
    call(1, "f");
    at(1);
    next.add(
        core ->
            core.attemptEnded(
                sent.get(0),
                AttemptOutcome.NOT_LOADED,
                LoadReport.NONE,
                null)); // now a load is ordered at a
    at(2);
    next.clear(); // the load does not end
    next.add(
        core ->
            core.endpointListReceived(
                false,
                List.of(new EndpointUpdate("a", "h", 1, WorkerState.DRAINING, 0, 0, 0, 1, null))));
    at(10);
    until(890);
    assertThat(sent).hasSize(1);
    assertThat(said)
        .contains("REJECTED")
        .doesNotContain("FAILED"); // a miss proves that nothing ran
    assertThat(core.pendingRequests()).isZero();
  }

  @Test
  void functionsKnownAreBounded() {
    list("a");
    call(0, "f1");
    call(0, "f2");
    call(0, "f3");
    at(0);
    assertThat(said).containsExactly("taken", "taken", "not taken");
  }

  @Test
  void aProbeOfAWorkerForgottenMeanwhileTouchesNoOther() {
    list("a");
    at(0);
    WorkerCommand command =
        new WorkerCommand(new WorkerEntry("gone", "h", 1, 0), -1, Duration.ZERO);
    next.add(
        core ->
            core.probeEnded(
                command,
                AttemptOutcome.SUCCEEDED,
                new LoadReport(1, 99, 99, -1))); // index 0 is now another worker's
    at(1);
    call(0, "f");
    at(2);
    assertThat(sent).hasSize(1);
  }

  // ---- the seam

  @Override
  public void startAttempt(Attempt attempt, Duration allow) {
    sent.add(attempt);
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    said.add("abandoned");
    return proves;
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int copies, WorkerCommand command) {
    next.add(core -> core.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, Math.max(1, copies)));
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand order) {}

  @Override
  public void probe(WorkerEntry worker, WorkerCommand order) {}

  @Override
  public void abandon(WorkerCommand order) {}

  @Override
  public void requestEndpointList() {}

  @Override
  public void responded(PendingRequest request, Response response) {
    said.add(response.kind().name());
  }

  @Override
  public void deadlineMissed(PendingRequest request, Response late) {
    said.add("overdue");
  }
}
