package switchgap.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.config.YamlRouterSettings;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.WorkerState;
import switchgap.router.Attempt;
import switchgap.router.CoreLimits;
import switchgap.router.EndpointUpdate;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/** Routes synthetic requests to workers that respond in the next tick, by a clock of its own. */
final class RoutingWarmup {
  private static final int REQUESTS = 3000;
  private static final int FUNCTIONS = 20;
  private static final int WORKERS = 8;
  private static final int MAX_FUNCTIONS = 100;
  private static final int SLOTS = 2;
  private static final long SEED = 1;
  private static final Duration TICK = Duration.ofMillis(2);
  private static final LoadReport WORKER_LOAD = new LoadReport(0.2, 1, 0, 0);
  private static final String NAME = "warm-up";

  private final YamlRouterSettings settings;
  private final RouterCore core;
  private List<Consumer<RouterCore>> nextEvents = new ArrayList<>();

  RoutingWarmup(YamlRouterSettings settings) {
    this.settings = settings;
    this.core =
        new RouterCore(
            settings,
            SEED,
            new ImmediateTransport(),
            new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), MAX_FUNCTIONS));
  }

  /** Routes all requests, or as many as the longest time allows. */
  void run() {
    List<EndpointUpdate> workers = workers();
    nextEvents.add(router -> router.endpointListReceived(true, workers));
    long startNanos = System.nanoTime();
    for (int i = 0;
        i < REQUESTS && System.nanoTime() - startNanos < JvmWarmup.MAX_DURATION.toNanos();
        i++) {
      Duration now = TICK.multipliedBy(i);
      PendingRequest request = request(i, now);
      nextEvents.add(router -> router.accept(request));
      List<Consumer<RouterCore>> events = nextEvents;
      nextEvents = new ArrayList<>();
      core.tick(now, events);
    }
  }

  private static List<EndpointUpdate> workers() {
    List<EndpointUpdate> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(
          new EndpointUpdate(NAME + "-" + i, "127.0.0.1", 1, WorkerState.READY, 0, 0, 0, 1, null));
    }
    return workers;
  }

  private PendingRequest request(int number, Duration now) {
    int requestClass = number % settings.requestClassCount();
    Duration deadline = now.plus(settings.requestTimeout(requestClass));
    return PendingRequest.builder(
            NAME, NAME + "-" + number % FUNCTIONS, deadline, new IgnoringListener())
        .requestClass(requestClass)
        .replica(1, SLOTS)
        .build();
  }

  /** A synthetic request has no client. */
  private static final class IgnoringListener implements ResponseListener {
    @Override
    public void responded(PendingRequest request, Response response) {}

    @Override
    public void deadlineMissed(PendingRequest request, Response late) {}
  }

  /** Workers that carry out everything by the next tick. */
  private final class ImmediateTransport implements WorkerTransport {
    @Override
    public void startAttempt(Attempt attempt, Duration timeout) {
      nextEvents.add(
          router ->
              router.attemptEnded(
                  attempt,
                  AttemptOutcome.SUCCEEDED,
                  WORKER_LOAD,
                  Response.succeeded(200, Map.of(), new byte[0])));
    }

    @Override
    public AttemptOutcome abandon(Attempt attempt) {
      return AttemptOutcome.TIMED_OUT;
    }

    @Override
    public void requestReplicas(
        WorkerEntry worker, String function, int replicas, WorkerCommand command) {
      nextEvents.add(
          router -> router.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, replicas));
    }

    @Override
    public void unload(WorkerEntry worker, String function, WorkerCommand command) {}

    @Override
    public void probe(WorkerEntry worker, WorkerCommand command) {
      nextEvents.add(
          router -> router.probeEnded(command, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
    }

    @Override
    public void abandon(WorkerCommand command) {}

    @Override
    public void requestEndpointList() {}
  }
}
