package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.testing.EndpointUpdateBuilder;
import switchgap.testing.ReachableObjects;

/**
 * Runs the core with the routing policy for two simulated days, in which workers are replaced
 * continually, many functions are requested once only, and clients cancel requests. Guards against
 * memory leaks.
 */
class RouterCoreLongRunTest implements WorkerTransport, ResponseListener {
  private static final String SETTINGS =
      """
      router: {number: 0, of: 3, tick: 5ms, executions: 3}
      workloads:
        again: {start_target: 300ms, time_limit: 2s, repeat: restartable}
        once: {start_target: 300ms, time_limit: 2s, repeat: run-once}
      functions: {"f*": {workload: again, memory: 1, lanes: 4}}
      workers: {miss: answers, orders: true, keep_alive: 10s}
      prices: {memory: 0.05}
      """;
  private static final long MILLIS_PER_HOUR = 3_600_000;
  private static final long LONGEST_REQUEST_MILLIS = 60_000;

  private final TreeMap<Duration, List<Consumer<RouterCore>>> eventsByTime = new TreeMap<>();
  private final SplittableRandom random = new SplittableRandom(3);
  private final RouterCore core =
      new RouterCore(
          new YamlRouterSettings(YamlDocument.read("settings", SETTINGS)),
          1,
          this,
          new CoreLimits(Duration.ofSeconds(10), Duration.ofMillis(250), 500));
  private final List<String> workers = new ArrayList<>(List.of("w0", "w1", "w2", "w3"));
  private Duration now = Duration.ZERO;
  private int totalWorkers = 4;
  private int accepted;
  private int notAccepted;
  private int answered;
  private int deadlinesMissed;
  private int cancelled;

  private void postLater(long millis, Consumer<RouterCore> event) {
    eventsByTime.computeIfAbsent(now.plusMillis(millis), time -> new ArrayList<>()).add(event);
  }

  private void runUntil(Duration end) {
    Duration next = nextTick();
    while (next != null && next.compareTo(end) <= 0) {
      now = next.compareTo(now) < 0 ? now : next;
      List<Consumer<RouterCore>> events = new ArrayList<>();
      while (!eventsByTime.isEmpty() && eventsByTime.firstKey().compareTo(now) <= 0) {
        events.addAll(eventsByTime.pollFirstEntry().getValue());
      }
      core.tick(now, events);
      next = nextTick();
    }
  }

  private Duration nextTick() {
    Duration nextEvent = eventsByTime.isEmpty() ? null : eventsByTime.firstKey();
    Duration nextTimer = core.nextDue();
    boolean isTimerNext =
        nextEvent == null || (nextTimer != null && nextTimer.compareTo(nextEvent) < 0);
    return isTimerNext ? nextTimer : nextEvent;
  }

  /** Delivers a complete endpoint list, in which workers may have other addresses than before. */
  private void receiveList(RouterCore router) {
    List<EndpointUpdate> updates = new ArrayList<>();
    for (String name : workers) {
      int port = 1 + random.nextInt(3) / 2;
      updates.add(EndpointUpdateBuilder.worker(name).address("h", port).build());
    }
    router.endpointListReceived(true, updates);
  }

  private void replaceWorker(RouterCore router) {
    workers.remove(random.nextInt(workers.size()));
    workers.add("w" + totalWorkers);
    totalWorkers++;
    receiveList(router);
  }

  private void offerRequest(RouterCore router) {
    PendingRequest request = randomRequest();
    if (!router.accept(request)) {
      notAccepted++;
      return;
    }
    accepted++;
    if (random.nextInt(30) == 0) {
      postLater(random.nextInt(200), routerAtCancel -> cancel(routerAtCancel, request));
    }
  }

  private PendingRequest randomRequest() {
    String function =
        random.nextInt(4) == 0 ? "f-once-" + random.nextInt(1_000_000) : "f" + random.nextInt(20);
    Duration deadline = now.plusMillis(300 + random.nextInt(1700));
    return PendingRequest.builder("request", function, deadline, this)
        .requestClass(random.nextInt(2))
        .replica(1, 4)
        .build();
  }

  private void cancel(RouterCore router, PendingRequest request) {
    cancelled += request.isPending() ? 1 : 0;
    router.requestCancelled(request);
  }

  private void runHours(int hours) {
    long millis = hours * MILLIS_PER_HOUR;
    for (long time = 1; time < millis; time += 1 + random.nextInt(2000)) {
      postLater(time, this::offerRequest);
    }
    for (long time = 1; time < millis; time += 20_000 + random.nextInt(40_000)) {
      postLater(time, this::replaceWorker);
    }
    runUntil(now.plusMillis(millis + LONGEST_REQUEST_MILLIS));
  }

  @Test
  void releasesEndedRequestsAndRemovedWorkersAndUnusedFunctions() {
    postLater(0, this::receiveList);
    runHours(12);
    long elementsAfter12Hours = ReachableObjects.count(core, this);

    runHours(36);

    assertThat(totalWorkers).isGreaterThan(3000);
    assertThat(ReachableObjects.count(core, this)).isLessThan(elementsAfter12Hours + 300);
    assertThat(core.pendingRequests()).isZero();
    assertThat(core.trackedRequests()).isZero();
    assertThat(answered + deadlinesMissed + cancelled).isEqualTo(accepted);
    assertThat(deadlinesMissed).isZero();
    assertThat(notAccepted).isZero();
    Object requests = ReachableObjects.field(core, "requests");
    Object endpoints = ReachableObjects.field(core, "endpoints");
    assertThat(((NameIndex) ReachableObjects.field(requests, "functions")).size()).isLessThan(60);
    assertThat((Map<?, ?>) ReachableObjects.field(endpoints, "byName")).hasSizeLessThan(8);
  }

  /**
   * Posts a random outcome, mostly success. For TIMED_OUT it posts nothing, so that the core's
   * timeout ends the attempt.
   */
  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    AttemptOutcome outcome =
        random.nextInt(5) > 0
            ? AttemptOutcome.SUCCEEDED
            : AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
    if (outcome == AttemptOutcome.TIMED_OUT) {
      return;
    }
    Response response = Response.succeeded(200, Map.of(), new byte[0]);
    postLater(
        1 + random.nextInt(400),
        router -> router.attemptEnded(attempt, outcome, LoadReport.NONE, response));
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    return AttemptOutcome.TIMED_OUT;
  }

  /** Posts no result for one command in twenty, which therefore times out. */
  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    if (random.nextInt(20) == 0) {
      return;
    }
    postLater(
        1 + random.nextInt(2000),
        router -> router.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, 1));
  }

  /** Posts no result for half of the unloads, which therefore time out. */
  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {
    if (random.nextBoolean()) {
      postLater(5, router -> router.unloadEnded(command));
    }
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {
    postLater(2, router -> router.probeEnded(command, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
  }

  @Override
  public void abandon(WorkerCommand command) {}

  @Override
  public void requestEndpointList() {}

  @Override
  public void responded(PendingRequest request, Response response) {
    answered++;
  }

  @Override
  public void deadlineMissed(PendingRequest request, Response lateResponse) {
    deadlinesMissed++;
  }
}
