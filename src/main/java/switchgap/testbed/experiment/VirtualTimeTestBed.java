package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongToDoubleFunction;
import switchgap.admission.AdmissionController;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.policy.RoutingPolicy;
import switchgap.policy.api.WorkerState;
import switchgap.router.AdmissionGate;
import switchgap.router.CoreLimits;
import switchgap.router.EndpointUpdate;
import switchgap.router.RouterCore;
import switchgap.testbed.emulator.ClientTransport;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.EmulatedStore;
import switchgap.testbed.emulator.EventRecorder;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.scenario.LoadFaults;
import switchgap.testbed.scenario.Scenario;

/**
 * A scenario in virtual time: emulated workers, store and clients, and the program's own core,
 * admission control and policy, without sockets. The same seed brings the same arrivals whatever
 * the variant. One thread.
 */
final class VirtualTimeTestBed {
  /** Time that a message takes between a client and a router or a router and a worker. */
  static final long NETWORK_DELAY_MICROS = 300;

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long DRAIN_MICROS = 10 * MICROS_PER_SECOND;
  private static final long ROUTER_SEED_FACTOR = 31;
  private static final long ROUTER_SEED_STEP = 7919;
  private static final Duration PIN_DURATION = Duration.ofDays(1000);
  private static final CoreLimits CORE_LIMITS =
      new CoreLimits(Duration.ofSeconds(10), Duration.ofMillis(250), 20_000);

  private final Scenario scenario;
  private final long seed;
  private final Variant variant;
  private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
  private final FunctionCatalogue catalogue;
  private final EmulatedClients clients;
  private final VirtualTimeFleet fleet;
  private final VirtualTimeFaults faults;
  private final StaticThreshold threshold;
  private final List<YamlRouterSettings> settings = new ArrayList<>();
  private final List<VirtualTimeRouter> routers = new ArrayList<>();
  private final List<RouterLevelChange> levelChanges = new ArrayList<>();

  /** {@code curve}: a factor on the scenario's rate, by microseconds since the start. */
  VirtualTimeTestBed(Scenario scenario, long seed, Variant variant, LongToDoubleFunction curve) {
    this.scenario = scenario;
    this.seed = seed;
    this.variant = variant;
    this.threshold =
        variant.admission() == Variant.AdmissionMode.STATIC
            ? new StaticThreshold(scenario.staticPendingLimit())
            : null;
    this.catalogue = scenario.catalogue(seed);
    EmulatedStore store =
        new EmulatedStore(
            scheduler, EventRecorder.none(), scenario.storeCapacity(), scenario.storeOutage());
    this.clients = scenario.clients(scheduler, this::send, catalogue, seed + 1);
    clients.setRateCurve(curve);
    this.fleet =
        new VirtualTimeFleet(
            scenario, scheduler, store, seed, this::workerKindIndex, this::notifyRouters);
    this.faults =
        new VirtualTimeFaults(
            scenario,
            scheduler,
            fleet,
            new LoadFaults(scheduler, clients, catalogue, store, scenario.tenantShares()),
            seed,
            this::startRouter);
    startWorkers();
    startRouters();
  }

  private void startWorkers() {
    for (int i = 0; i < scenario.workers(); i++) {
      fleet.startWarm();
    }
    catalogue.seed(fleet.workers());
  }

  private void startRouters() {
    for (int i = 0; i < scenario.routers(); i++) {
      settings.add(
          new YamlRouterSettings(
              YamlDocument.read(
                  "router " + i,
                  scenario.routerConfig(i, 1, 1, catalogue, variant.settingOverrides()))));
      clients.setZone(i, scenario.zone(i));
      routers.add(null);
      startRouter(i);
    }
  }

  /** Starts a router that knows nothing but the endpoint list; one that runs is stopped first. */
  private void startRouter(int routerIndex) {
    if (routers.get(routerIndex) != null) {
      routers.get(routerIndex).stop();
    }
    VirtualTimeRouter router = new VirtualTimeRouter(scheduler);
    routers.set(routerIndex, router);
    YamlRouterSettings routerSettings = settings.get(routerIndex);
    long coreSeed = seed * ROUTER_SEED_FACTOR + routerIndex * ROUTER_SEED_STEP + scheduler.now();
    RouterCore core =
        new RouterCore(
            routerSettings,
            new RoutingPolicy(routerSettings, coreSeed)::tick,
            new VirtualTimeWorkerTransport(
                router, scheduler, fleet, catalogue, scenario.reportsLoad()),
            CORE_LIMITS);
    router.start(
        new AdmissionGate(
            core,
            routerSettings,
            admissionController(router, routerSettings, coreSeed + 1),
            change -> levelChanges.add(new RouterLevelChange(routerIndex, change))));
    List<EndpointUpdate> list = fleet.endpointList(router);
    router.post(routerCore -> routerCore.endpointListReceived(true, list));
  }

  /** The variant's admission control, null for none. */
  private AdmissionController admissionController(
      VirtualTimeRouter router, YamlRouterSettings routerSettings, long admissionSeed) {
    if (variant.admission() != Variant.AdmissionMode.LEVELS) {
      return null;
    }
    AdmissionController admission =
        new AdmissionController(routerSettings.admissionSettings(), admissionSeed);
    if (variant.pinned() != null) {
      admission.pin(router.now(), variant.pinned(), PIN_DURATION);
    }
    return admission;
  }

  private int workerKindIndex(String kind) {
    return settings.get(0).workerKindIndex(kind);
  }

  private void notifyRouters(String worker, WorkerState state) {
    for (VirtualTimeRouter router : routers) {
      EndpointUpdate update = fleet.endpointUpdate(worker, state, router);
      router.post(core -> core.endpointListReceived(false, List.of(update)));
    }
  }

  private void send(
      ClientTransport.ClientAttempt attempt, ClientTransport.AttemptListener listener) {
    int router = attempt.router();
    new VirtualTimeExchange(
            scheduler, routers.get(router), settings.get(router), threshold, attempt, listener)
        .start();
  }

  VirtualTimeScheduler scheduler() {
    return scheduler;
  }

  EmulatedClients clients() {
    return clients;
  }

  /** The routers that run at present, by their index. */
  List<VirtualTimeRouter> routers() {
    return routers;
  }

  /** Changes of service levels so far, in their order. */
  List<RouterLevelChange> levelChanges() {
    return levelChanges;
  }

  /** Mean share of cores at work, over the workers that run. */
  double meanUtilization() {
    return fleet.meanUtilization();
  }

  /**
   * Plays so many seconds, and what is still in flight to its end; the listener is called once a
   * second.
   */
  void play(long seconds, LongConsumer everySecond) {
    long startedAt = scheduler.now();
    long end = startedAt + seconds * MICROS_PER_SECOND;
    clients.start(end);
    faults.start();
    for (long second = 0; second < seconds; second++) {
      scheduler.run(startedAt + (second + 1) * MICROS_PER_SECOND);
      everySecond.accept(second);
    }
    scheduler.run(end + DRAIN_MICROS);
  }
}
