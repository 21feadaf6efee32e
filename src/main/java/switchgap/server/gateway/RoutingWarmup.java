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

/**
 * Routes synthetic requests to simulated workers that respond in the next tick of a simulated
 * clock.
 */
final class RoutingWarmup {
  private static final int REQUEST_COUNT = 3000;
  private static final int FUNCTION_COUNT = 20;
  private static final int WORKER_COUNT = 8;
  private static final int MAX_FUNCTIONS = 100;
  private static final int SLOTS_PER_REPLICA = 2;
  private static final long SEED = 1;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(2);
  private static final LoadReport WORKER_LOAD = new LoadReport(0.2, 1, 0, 0);
  private static final String NAME_PREFIX = "warm-up";

  private final YamlRouterSettings settings;
  private final RouterCore core;
  private List<Consumer<RouterCore>> nextTickEvents = new ArrayList<>();

  RoutingWarmup(YamlRouterSettings settings) {
    this.settings = settings;
    this.core =
        new RouterCore(
            settings,
            SEED,
            new ImmediateTransport(),
            new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), MAX_FUNCTIONS));
  }

  /** Routes all requests, or fewer if {@link JvmWarmup#MAX_STEP_DURATION} is over. */
  void run() {
    List<EndpointUpdate> workers = workers();
    nextTickEvents.add(router -> router.endpointListReceived(true, workers));
    long startNanos = System.nanoTime();
    for (int i = 0;
        i < REQUEST_COUNT && System.nanoTime() - startNanos < JvmWarmup.MAX_STEP_DURATION.toNanos();
        i++) {
      Duration now = TICK_INTERVAL.multipliedBy(i);
      PendingRequest request = request(i, now);
      nextTickEvents.add(router -> router.accept(request));
      List<Consumer<RouterCore>> events = nextTickEvents;
      nextTickEvents = new ArrayList<>();
      core.tick(now, events);
    }
  }

  private static List<EndpointUpdate> workers() {
    List<EndpointUpdate> workers = new ArrayList<>();
    for (int i = 0; i < WORKER_COUNT; i++) {
      workers.add(
          new EndpointUpdate(
              NAME_PREFIX + "-" + i, "127.0.0.1", 1, WorkerState.READY, 0, 0, 0, 1, null));
    }
    return workers;
  }

  private PendingRequest request(int number, Duration now) {
    int requestClass = number % settings.requestClassCount();
    Duration deadline = now.plus(settings.requestTimeout(requestClass));
    return PendingRequest.builder(
            NAME_PREFIX,
            NAME_PREFIX + "-" + number % FUNCTION_COUNT,
            deadline,
            new IgnoringListener())
        .requestClass(requestClass)
        .replica(1, SLOTS_PER_REPLICA)
        .build();
  }

  /** Discards responses, since synthetic requests have no client. */
  private static final class IgnoringListener implements ResponseListener {
    @Override
    public void responded(PendingRequest request, Response response) {}

    @Override
    public void deadlineMissed(PendingRequest request, Response lateResponse) {}
  }

  /** Simulates workers that complete each attempt and command by the next tick. */
  private final class ImmediateTransport implements WorkerTransport {
    @Override
    public void startAttempt(Attempt attempt, Duration timeout) {
      nextTickEvents.add(
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
      nextTickEvents.add(
          router -> router.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, replicas));
    }

    @Override
    public void unload(WorkerEntry worker, String function, WorkerCommand command) {}

    @Override
    public void probe(WorkerEntry worker, WorkerCommand command) {
      nextTickEvents.add(
          router -> router.probeEnded(command, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
    }

    @Override
    public void abandon(WorkerCommand command) {}

    @Override
    public void requestEndpointList() {}
  }
}
