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
 * Runs a scenario in virtual time, without sockets: the production router core, admission control
 * and routing policy with emulated workers, store and clients. The same seed gives the same request
 * arrivals with every variant. Not thread-safe.
 */
final class VirtualTimeTestBed {
  /** One-way delay of a message between a client and a router, or a router and a worker. */
  static final long NETWORK_DELAY_MICROS = 300;

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long IN_FLIGHT_WAIT_MICROS = 10 * MICROS_PER_SECOND;
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
  private final StaticThreshold staticThreshold;
  private final List<YamlRouterSettings> settingsByRouter = new ArrayList<>();
  private final List<VirtualTimeRouter> routers = new ArrayList<>();
  private final List<RouterLevelChange> levelChanges = new ArrayList<>();

  /**
   * {@code rateFactor} returns the factor on the scenario's request rate at a time in microseconds
   * since the start.
   */
  VirtualTimeTestBed(
      Scenario scenario, long seed, Variant variant, LongToDoubleFunction rateFactor) {
    this.scenario = scenario;
    this.seed = seed;
    this.variant = variant;
    this.staticThreshold =
        variant.admission() == Variant.AdmissionMode.STATIC
            ? new StaticThreshold(scenario.staticPendingLimit())
            : null;
    this.catalogue = scenario.catalogue(seed);
    EmulatedStore store =
        new EmulatedStore(
            scheduler, EventRecorder.none(), scenario.storeCapacity(), scenario.storeOutage());
    this.clients = scenario.clients(scheduler, this::send, catalogue, seed + 1);
    clients.setRateCurve(rateFactor);
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
    for (int i = 0; i < scenario.workerCount(); i++) {
      fleet.startWarm();
    }
    catalogue.seedReplicas(fleet.workers());
  }

  private void startRouters() {
    for (int i = 0; i < scenario.routerCount(); i++) {
      // Nothing listens in virtual time; both ports are placeholders.
      settingsByRouter.add(
          new YamlRouterSettings(
              YamlDocument.read(
                  "router " + i,
                  scenario.routerConfig(i, 1, 1, catalogue, variant.settingOverrides()))));
      clients.setZone(i, scenario.zoneName(i));
      routers.add(null);
      startRouter(i);
    }
  }

  /**
   * Starts a router without any state except the endpoint list; stops a running router with the
   * same index first.
   */
  private void startRouter(int routerIndex) {
    if (routers.get(routerIndex) != null) {
      routers.get(routerIndex).stop();
    }
    VirtualTimeRouter router = new VirtualTimeRouter(scheduler);
    routers.set(routerIndex, router);
    YamlRouterSettings routerSettings = settingsByRouter.get(routerIndex);
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
            createAdmissionController(router, routerSettings, coreSeed + 1),
            change -> levelChanges.add(new RouterLevelChange(routerIndex, change))));
    List<EndpointUpdate> endpointList = fleet.endpointList(router);
    router.post(routerCore -> routerCore.endpointListReceived(true, endpointList));
  }

  /** Creates the variant's admission control, null if it has none. */
  private AdmissionController createAdmissionController(
      VirtualTimeRouter router, YamlRouterSettings routerSettings, long admissionSeed) {
    if (variant.admission() != Variant.AdmissionMode.LEVELS) {
      return null;
    }
    AdmissionController admission =
        new AdmissionController(routerSettings.admissionSettings(), admissionSeed);
    if (variant.pinnedLevel() != null) {
      admission.pin(router.now(), variant.pinnedLevel(), PIN_DURATION);
    }
    return admission;
  }

  private int workerKindIndex(String kind) {
    return settingsByRouter.get(0).workerKindIndex(kind);
  }

  private void notifyRouters(String workerName, WorkerState state) {
    for (VirtualTimeRouter router : routers) {
      EndpointUpdate update = fleet.endpointUpdate(workerName, state, router);
      router.post(core -> core.endpointListReceived(false, List.of(update)));
    }
  }

  private void send(
      ClientTransport.ClientAttempt attempt, ClientTransport.AttemptListener listener) {
    int routerIndex = attempt.router();
    new VirtualTimeExchange(
            scheduler,
            routers.get(routerIndex),
            settingsByRouter.get(routerIndex),
            staticThreshold,
            attempt,
            listener)
        .start();
  }

  VirtualTimeScheduler scheduler() {
    return scheduler;
  }

  EmulatedClients clients() {
    return clients;
  }

  /** Returns the running routers, by their index. */
  List<VirtualTimeRouter> routers() {
    return routers;
  }

  /** Returns the changes of service levels so far, in order of time. */
  List<RouterLevelChange> levelChanges() {
    return levelChanges;
  }

  /** Returns the mean CPU utilization of the running workers. */
  double meanUtilization() {
    return fleet.meanUtilization();
  }

  /**
   * Runs the clients for a number of seconds, and then a period in which requests in flight can
   * end. The listener is called after each second with the second's index, from 0.
   */
  void run(long seconds, LongConsumer endedSecondListener) {
    long startMicros = scheduler.now();
    long endMicros = startMicros + seconds * MICROS_PER_SECOND;
    clients.start(endMicros);
    faults.start();
    for (long second = 0; second < seconds; second++) {
      scheduler.runUntil(startMicros + (second + 1) * MICROS_PER_SECOND);
      endedSecondListener.accept(second);
    }
    scheduler.runUntil(endMicros + IN_FLIGHT_WAIT_MICROS);
  }
}
