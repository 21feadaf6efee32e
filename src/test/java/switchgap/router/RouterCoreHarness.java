package switchgap.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.testing.EndpointUpdateBuilder;

/**
 * A core with the routing policy and a clock that is advanced by the test. Attempts and probes get
 * no response unless the test posts it; load commands succeed in the next tick.
 */
final class RouterCoreHarness implements WorkerTransport, ResponseListener {
  /** An event of a request or an attempt, as recorded by this harness. */
  enum Observation {
    ACCEPTED,
    NOT_ACCEPTED,
    ATTEMPT_ABANDONED,
    SUCCEEDED,
    REJECTED,
    FAILED,
    DEADLINE_MISSED
  }

  /** Index of the idempotent request class in the settings. */
  static final int IDEMPOTENT = 0;

  /** Index of the non-idempotent request class in the settings. */
  static final int NON_IDEMPOTENT = 1;

  static final int MAX_FUNCTIONS = 2;
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(900);
  private static final String SETTINGS =
      """
      router: {number: 0, of: 1, tick: 5ms, executions: 3}
      workloads:
        again: {start_target: 300ms, time_limit: 900ms, repeat: restartable}
        once: {start_target: 300ms, time_limit: 900ms, repeat: run-once}
      functions: {f: {workload: again, memory: 1, lanes: 100}}
      """;

  private final List<Consumer<RouterCore>> nextEvents = new ArrayList<>();
  private final List<Attempt> sentAttempts = new ArrayList<>();
  private final List<Observation> observations = new ArrayList<>();
  private final RouterCore core =
      new RouterCore(
          new YamlRouterSettings(YamlDocument.read("settings", SETTINGS)),
          1,
          this,
          new CoreLimits(Duration.ofMillis(500), Duration.ofMillis(50), MAX_FUNCTIONS));
  private Duration now = Duration.ZERO;
  private AttemptOutcome abandonOutcome = AttemptOutcome.TIMED_OUT;

  RouterCore core() {
    return core;
  }

  List<Attempt> sentAttempts() {
    return sentAttempts;
  }

  List<Observation> observations() {
    return observations;
  }

  long count(Observation kind) {
    return observations.stream().filter(kind::equals).count();
  }

  /** Sets the outcome that is returned for attempts abandoned from now on. */
  void setAbandonOutcome(AttemptOutcome outcome) {
    abandonOutcome = outcome;
  }

  /** Runs a tick at a time since the start, with the events posted so far. */
  void tickAt(long millis) {
    now = Duration.ofMillis(millis);
    List<Consumer<RouterCore>> events = List.copyOf(nextEvents);
    nextEvents.clear();
    core.tick(now, events);
  }

  /** Runs a tick for each due timer, at whole milliseconds, until a time since the start. */
  void runUntil(long millis) {
    Duration due = core.nextDue();
    while (due != null && due.compareTo(Duration.ofMillis(millis)) <= 0) {
      long dueMillis = due.plusNanos(999_999).toMillis();
      tickAt(Math.max(now.toMillis(), dueMillis));
      due = core.nextDue();
    }
  }

  /**
   * Runs the due timers as an event loop does that handles each of them late, up to a time since
   * the start.
   */
  void runLateUntil(long millis, long delayMillis) {
    Duration due = core.nextDue();
    while (due != null && due.compareTo(Duration.ofMillis(millis)) <= 0) {
      long handledMillis = due.plusNanos(999_999).toMillis() + delayMillis;
      tickAt(Math.max(now.toMillis(), handledMillis));
      core.timersDelayed(now.minus(due));
      due = core.nextDue();
    }
  }

  void post(Consumer<RouterCore> event) {
    nextEvents.add(event);
  }

  /** Discards all posted events that have not been delivered. */
  void discardPostedEvents() {
    nextEvents.clear();
  }

  void postReadyWorkers(String... names) {
    List<EndpointUpdate> updates = new ArrayList<>();
    for (String name : names) {
      updates.add(EndpointUpdateBuilder.worker(name).build());
    }
    post(router -> router.endpointListReceived(true, updates));
  }

  PendingRequest postRequest(int requestClass, String function) {
    PendingRequest request =
        PendingRequest.builder(
                "request-" + observations.size(), function, now.plus(REQUEST_TIMEOUT), this)
            .requestClass(requestClass)
            .replica(1, 100)
            .build();
    post(
        router ->
            observations.add(
                router.accept(request) ? Observation.ACCEPTED : Observation.NOT_ACCEPTED));
    return request;
  }

  void postSuccess(Attempt attempt) {
    Response response = Response.succeeded(200, Map.of(), new byte[0]);
    post(
        router ->
            router.attemptEnded(attempt, AttemptOutcome.SUCCEEDED, LoadReport.NONE, response));
  }

  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    sentAttempts.add(attempt);
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    observations.add(Observation.ATTEMPT_ABANDONED);
    return abandonOutcome;
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    post(
        router ->
            router.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, Math.max(1, replicas)));
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {}

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {}

  @Override
  public void abandon(WorkerCommand command) {}

  @Override
  public void requestEndpointList() {}

  @Override
  public void responded(PendingRequest request, Response response) {
    observations.add(Observation.valueOf(response.kind().name()));
  }

  @Override
  public void deadlineMissed(PendingRequest request, Response lateResponse) {
    observations.add(Observation.DEADLINE_MISSED);
  }
}
