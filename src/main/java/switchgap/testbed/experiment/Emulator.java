package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import java.util.function.LongToDoubleFunction;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.EnumWords;
import switchgap.config.FunctionSettings;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.policy.RoutingPolicy;
import switchgap.policy.api.RouterSettings;
import switchgap.policy.api.WorkerState;
import switchgap.router.AdmissionGate;
import switchgap.router.CoreLimits;
import switchgap.router.EndpointUpdate;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;
import switchgap.testbed.emulator.AttemptEnd;
import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.emulator.ClientTransport;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.EmulatedStore;
import switchgap.testbed.emulator.EmulatedWorker;
import switchgap.testbed.emulator.EventRecorder;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.FunctionModel;
import switchgap.testbed.scenario.LoadFaults;
import switchgap.testbed.scenario.Scenario;

/**
 * A scenario in simulated time: emulated workers, store and clients, and the program's own core,
 * admission control and policy, without sockets. The same seed brings the same arrivals whatever
 * the variant. One thread.
 */
final class Emulator {
  /** A change of level at a router. */
  record RouterLevelChange(int router, ServiceLevelChange change) {
    /** Whether it concerns all tenants. */
    boolean isCommon() {
      return change.tenant() < 0;
    }
  }

  private static final long NANOS_PER_MICRO = 1000;
  private static final int HTTP_OK = 200;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final Duration STATIC_RETRY_AFTER = Duration.ofMillis(500);

  final Scenario scenario;
  final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
  final FunctionCatalogue catalogue;
  final EmulatedClients clients;
  final long tickMicros;
  final long networkDelayMicros;
  final List<RouterLevelChange> changes = new ArrayList<>();
  final List<EmulatedRouter> routers = new ArrayList<>();
  private final Variant variant;
  private final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
  private final Map<String, Boolean> ready = new LinkedHashMap<>();
  private final List<YamlRouterSettings> settings = new ArrayList<>();
  private final EmulatedStore store;
  private final LoadFaults loadFaults;
  private final SplittableRandom random;
  private final long seed;
  private int nextWorkerIndex;

  Emulator(Scenario scenario, long seed, Variant variant, LongToDoubleFunction curve) {
    this.scenario = scenario;
    this.seed = seed;
    this.variant = variant;
    this.tickMicros = 1000;
    this.networkDelayMicros = 300;
    this.random = new SplittableRandom(seed);
    EventRecorder noRecord = EventRecorder.none();
    catalogue = scenario.catalogue(seed);
    store =
        new EmulatedStore(scheduler, noRecord, scenario.storeCapacity(), scenario.storeOutage());
    clients = scenario.clients(scheduler, this::send, catalogue, seed + 1);
    clients.setRateCurve(curve);
    loadFaults = new LoadFaults(scheduler, clients, catalogue, store, scenario.tenantShares());
    for (int i = 0; i < scenario.workers(); i++) {
      startWorker(false);
    }
    catalogue.seed(List.copyOf(workers.values()));
    for (int i = 0; i < scenario.routers(); i++) {
      settings.add(
          new YamlRouterSettings(
              YamlDocument.read(
                  "router " + i, scenario.routerConfig(i, 1, 1, catalogue, variant.terms()))));
      clients.setZone(i, scenario.zone(i));
      routers.add(null);
      startRouter(i);
    }
  }

  /** Starts a router that knows nothing but the endpoint list. */
  void startRouter(int routerIndex) {
    if (routers.get(routerIndex) != null) {
      routers.get(routerIndex).stop();
    }
    EmulatedRouter router = new EmulatedRouter(this);
    routers.set(routerIndex, router);
    YamlRouterSettings routerSettings = settings.get(routerIndex);
    long coreSeed = seed * 31 + routerIndex * 7919L + scheduler.now();
    RouterCore core =
        new RouterCore(
            routerSettings,
            new RoutingPolicy(routerSettings, coreSeed)::tick,
            router,
            new CoreLimits(Duration.ofSeconds(10), Duration.ofMillis(250), 20_000));
    AdmissionController levels =
        variant.before() == Variant.Before.LEVELS
            ? new AdmissionController(routerSettings.admissionSettings(), coreSeed + 1)
            : null;
    if (levels != null && variant.pinned() != null) {
      levels.pin(router.now(), variant.pinned(), Duration.ofDays(1000));
    }
    router.gate(
        new AdmissionGate(
            core,
            routerSettings,
            levels,
            change -> changes.add(new RouterLevelChange(routerIndex, change))));
    List<EndpointUpdate> list = new ArrayList<>();
    workers
        .keySet()
        .forEach(
            workerName -> {
              if (ready.get(workerName)) {
                list.add(endpointUpdate(workerName, WorkerState.READY, router));
              }
            });
    router.post(routerCore -> routerCore.endpointListReceived(true, list));
  }

  private EndpointUpdate endpointUpdate(String name, WorkerState state, EmulatedRouter router) {
    int workerIndex = Integer.parseInt(name.substring(1));
    EmulatedWorker worker = workers.get(name);
    return new EndpointUpdate(
        name,
        "emulated",
        1,
        state,
        scenario.zoneOf(workerIndex),
        workerIndex / scenario.cellSize(),
        settings.isEmpty() ? 0 : settings.get(0).workerKindIndex(scenario.kindName(workerIndex)),
        scenario.computeCapacityOf(workerIndex),
        worker.startedCold()
            ? router.now().minus(Duration.ofNanos((scheduler.now() - worker.startedAt()) * 1000))
            : null);
  }

  private void startWorker(boolean cold) {
    int workerIndex = nextWorkerIndex++;
    String name = "w" + workerIndex;
    workers.put(
        name,
        new EmulatedWorker(
            scenario.hardwareOf(workerIndex),
            scheduler,
            store,
            name,
            seed + 1000 + workerIndex,
            cold,
            () -> {}));
    ready.put(name, true);
    if (cold) {
      reportState(name, WorkerState.READY);
    }
  }

  /** Mean share of cores at work, over the workers that run. */
  double meanUtilization() {
    return workers.values().stream()
        .filter(worker -> !worker.isDead())
        .mapToDouble(EmulatedWorker::utilization)
        .average()
        .orElse(0);
  }

  EmulatedWorker worker(String name) {
    return workers.get(name);
  }

  private void reportState(String name, WorkerState state) {
    ready.put(name, state == WorkerState.READY);
    scheduler.after(
        scenario.listLag(),
        () ->
            routers.forEach(
                router -> {
                  EndpointUpdate update = endpointUpdate(name, state, router);
                  router.post(
                      routerCore -> routerCore.endpointListReceived(false, List.of(update)));
                }));
  }

  private void send(
      ClientTransport.ClientAttempt attempt, ClientTransport.AttemptListener listener) {
    new EmulatedExchange(attempt, listener).start();
  }

  /** One attempt of a client at a router, a network delay away; it ends once. */
  private final class EmulatedExchange implements ResponseListener {
    private final ClientTransport.ClientAttempt attempt;
    private final ClientTransport.AttemptListener listener;
    private final EmulatedRouter router;
    private final YamlRouterSettings routerSettings;
    private PendingRequest request;
    private boolean ended;

    EmulatedExchange(
        ClientTransport.ClientAttempt attempt, ClientTransport.AttemptListener listener) {
      this.attempt = attempt;
      this.listener = listener;
      router = routers.get(attempt.router());
      routerSettings = settings.get(attempt.router());
    }

    void start() {
      scheduler.after(networkDelayMicros, () -> router.post(core -> arrive()));
      scheduler.after(attempt.deadline() - scheduler.now(), this::timeOut);
    }

    private void arrive() {
      FunctionModel model = attempt.function();
      FunctionSettings function = routerSettings.function(model.name());
      Duration timeLeft =
          Duration.ofNanos((attempt.deadline() - scheduler.now()) * NANOS_PER_MICRO);
      request =
          PendingRequest.builder(
                  attempt.attemptId(), model.name(), router.now().plus(timeLeft), this)
              .requestClass(model.requestClass())
              .tenant(routerSettings.tenantIndex(attempt.tenant()))
              .durationHint(Duration.ofNanos((long) (model.work() * NANOS_PER_MICRO)))
              .idempotencyKey(attempt.idempotencyKey())
              .replica(function.memoryMb(), function.slots())
              .build();
      if (variant.before() == Variant.Before.STATIC
          && rejectedByStaticThreshold(router, model.requestClass(), routerSettings)) {
        responded(request, Response.rejected(STATIC_RETRY_AFTER));
      } else if (!router.gate().offer(request)) {
        scheduler.after(
            networkDelayMicros,
            () ->
                end(
                    new AttemptEnd(
                        ClientOutcome.REFUSED,
                        ClientOutcome.REFUSED.word(),
                        HTTP_UNAVAILABLE,
                        AttemptEnd.NO_RETRY_AFTER)));
      }
    }

    private void timeOut() {
      if (ended) {
        return;
      }
      end(AttemptEnd.withoutResponse(ClientOutcome.TIMED_OUT));
      if (request != null) {
        router.post(core -> core.requestCancelled(request));
      }
    }

    @Override
    public void responded(PendingRequest answered, Response response) {
      long retryAfter =
          response.retryAfter() == null
              ? AttemptEnd.NO_RETRY_AFTER
              : response.retryAfter().toMillis();
      ClientOutcome outcome =
          switch (response.kind()) {
            case SUCCEEDED -> ClientOutcome.SUCCEEDED;
            case REJECTED -> ClientOutcome.REJECTED;
            case FAILED -> ClientOutcome.FAILED;
          };
      int status = response.kind() == Response.Kind.SUCCEEDED ? HTTP_OK : HTTP_UNAVAILABLE;
      scheduler.after(
          networkDelayMicros,
          () -> end(new AttemptEnd(outcome, outcome.word(), status, retryAfter)));
    }

    @Override
    public void deadlineMissed(PendingRequest overdue, Response late) {}

    private void end(AttemptEnd end) {
      if (!ended) {
        ended = true;
        listener.attemptEnded(end);
      }
    }
  }

  /**
   * The baseline of a static limit: past so many pending requests at a router, lesser classes are
   * rejected.
   */
  private boolean rejectedByStaticThreshold(
      EmulatedRouter router, int requestClass, RouterSettings routerSettings) {
    double maxWeight = 0;
    for (int i = 0; i < routerSettings.requestClassCount(); i++) {
      maxWeight = Math.max(maxWeight, routerSettings.priorityWeight(i));
    }
    return routerSettings.priorityWeight(requestClass) < maxWeight
        && router.gate().core().pendingRequests() >= scenario.staticPendingLimit();
  }

  /**
   * Plays so many seconds, and what is still in flight to its end; the listener is called once a
   * second.
   */
  void play(long seconds, LongConsumer everySecond) {
    long startedAt = scheduler.now();
    long end = startedAt + seconds * 1_000_000;
    clients.start(end);
    scenario.faults().forEach(fault -> scheduler.after(fault.startsAt(), () -> inject(fault)));
    for (long second = 0; second < seconds; second++) {
      scheduler.run(startedAt + (second + 1) * 1_000_000);
      everySecond.accept(second);
    }
    scheduler.run(end + 10_000_000);
  }

  private void inject(Scenario.Fault fault) {
    if (loadFaults.inject(fault)) {
      return;
    }
    switch (fault.type()) {
      case SLOW -> {
        List<EmulatedWorker> selected = selectWorkers(fault.share());
        selected.forEach(worker -> worker.setSlowdown(fault.strength()));
        scheduler.after(fault.duration(), () -> selected.forEach(worker -> worker.setSlowdown(1)));
      }
      case WORKERS_KILLED ->
          selectWorkers(fault.share())
              .forEach(
                  worker -> {
                    worker.kill();
                    scheduler.after(
                        fault.duration(),
                        () -> {
                          reportState(worker.name(), WorkerState.GONE);
                          startWorker(true);
                        });
                  });
      case ROUTERS_RESTARTED -> {
        for (int i = 0; i < Math.max(1, Math.round(fault.share() * scenario.routers())); i++) {
          startRouter(i);
        }
      }
      default ->
          throw new IllegalArgumentException(
              "the emulator does not bring "
                  + EnumWords.wordOf(fault.type())
                  + "; it brings what needs no socket");
    }
  }

  private List<EmulatedWorker> selectWorkers(double part) {
    List<EmulatedWorker> all = new ArrayList<>();
    workers.forEach(
        (workerName, worker) -> {
          if (ready.get(workerName) && !worker.isDead()) {
            all.add(worker);
          }
        });
    return LoadFaults.drawShare(all, part, random);
  }
}
