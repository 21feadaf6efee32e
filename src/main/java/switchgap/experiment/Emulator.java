package switchgap.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.emulator.ClientTransport;
import switchgap.emulator.EmulatedClients;
import switchgap.emulator.EmulatedStore;
import switchgap.emulator.EmulatedWorker;
import switchgap.emulator.FunctionCatalogue;
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
import switchgap.scenario.LoadFaults;
import switchgap.scenario.Scenario;

/**
 * A day in simulated time: the stand-ins' machines, store and clients, and the program's own core, gate, levels and
 * module, without sockets. The same seed brings the same arrivals whatever the variant.
 */
final class Emulator {
    /** A change of level at a router. */
    record RouterLevelChange(int router, ServiceLevelChange change) {}

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
        switchgap.emulator.EventRecorder nothing = switchgap.emulator.EventRecorder.none();
        catalogue = scenario.catalogue(seed);
        store = new EmulatedStore(scheduler, nothing, scenario.storeTakes(), scenario.storeDown());
        clients = scenario.clients(scheduler, this::send, catalogue, seed + 1);
        clients.curve(curve);
        loadFaults = new LoadFaults(scheduler, clients, catalogue, store, scenario.customers());
        for (int i = 0; i < scenario.workers(); i++) { startWorker(false); }
        catalogue.seed(List.copyOf(workers.values()));
        for (int i = 0; i < scenario.routers(); i++) {
            settings.add(new YamlRouterSettings(
                YamlDocument.read("router " + i, scenario.routerPage(i, 1, 1, catalogue, variant.terms()))));
            clients.zone(i, scenario.zone(i));
            routers.add(null);
            startRouter(i);
        }
    }

    /** Starts a router with nothing but the list. */
    void startRouter(int routerIndex) {
        if (routers.get(routerIndex) != null) { routers.get(routerIndex).stop(); }
        EmulatedRouter router = new EmulatedRouter(this);
        routers.set(routerIndex, router);
        YamlRouterSettings routerSettings = settings.get(routerIndex);
        long coreSeed = seed * 31 + routerIndex * 7919L + scheduler.now();
        RouterCore core = new RouterCore(routerSettings, new RoutingPolicy(routerSettings, coreSeed)::tick,
            router,
            new CoreLimits(Duration.ofSeconds(10), Duration.ofMillis(250), 20_000));
        AdmissionController levels = variant.before() == Variant.Before.LEVELS
            ? new AdmissionController(routerSettings.admissionSettings(), coreSeed + 1) : null;
        if (levels != null && variant.pinned() != null) {
            levels.pin(router.now(), variant.pinned(), Duration.ofDays(1000));
        }
        router.gate(new AdmissionGate(core, routerSettings, levels,
            change -> changes.add(new RouterLevelChange(routerIndex, change))));
        List<EndpointUpdate> list = new ArrayList<>();
        workers.keySet().forEach(workerName -> {
            if (ready.get(workerName)) { list.add(endpointUpdate(workerName, WorkerState.READY, router)); }
        });
        router.post(routerCore -> routerCore.endpointListReceived(true, list));
    }

    private EndpointUpdate endpointUpdate(String name, WorkerState state, EmulatedRouter router) {
        int workerIndex = Integer.parseInt(name.substring(1));
        EmulatedWorker worker = workers.get(name);
        return new EndpointUpdate(name, "emulated", 1, state, scenario.zoneOf(workerIndex),
            workerIndex / scenario.cellSize(),
            settings.isEmpty() ? 0
                : settings.get(0).workerKindIndex(scenario.kindName(workerIndex)),
            scenario.sizeOf(workerIndex),
            worker.cold() ? router.now().minus(Duration.ofNanos((scheduler.now() - worker.started()) * 1000))
                : null);
    }

    private void startWorker(boolean cold) {
        int workerIndex = nextWorkerIndex++;
        String name = "w" + workerIndex;
        workers.put(name,
            new EmulatedWorker(scenario.makeOf(workerIndex), scheduler, store, name,
                seed + 1000 + workerIndex, cold, () -> {}));
        ready.put(name, true);
        if (cold) { reportState(name, WorkerState.READY); }
    }

    /** Mean share of cores at work, over the workers that run. */
    double meanUtilization() {
        return workers.values().stream().filter(worker -> !worker.dead()).mapToDouble(
            EmulatedWorker::busy).average().orElse(0);
    }

    EmulatedWorker worker(String name) { return workers.get(name); }

    private void reportState(String name, WorkerState state) {
        ready.put(name, state == WorkerState.READY);
        scheduler.after(scenario.listLag(), () -> routers.forEach(router -> {
            EndpointUpdate update = endpointUpdate(name, state, router);
            router.post(routerCore -> routerCore.endpointListReceived(false, List.of(update)));
        }));
    }

    private void send(ClientTransport.ClientAttempt attempt, ClientTransport.ResultHandler then) {
        EmulatedRouter router = routers.get(attempt.router());
        YamlRouterSettings routerSettings = settings.get(attempt.router());
        YamlRouterSettings.FunctionSettings functionSettings = routerSettings.function(
            attempt.model().name());
        long began = scheduler.now();
        boolean[] completed = {false};
        PendingRequest[] pending = new PendingRequest[1];
        ResponseListener listener = new ResponseListener() {
            @Override public void responded(PendingRequest request, Response response) {
                scheduler.after(networkDelayMicros, () -> complete(completed, then, switch (response.kind()) {
                    case SUCCEEDED -> "finished";
                    case REJECTED -> "pushed-back";
                    case FAILED -> "killed";
                }, response.kind() == Response.Kind.SUCCEEDED ? 200 : 503,
                    response.retryAfter() == null ? -1 : response.retryAfter().toMillis()));
            }

            @Override public void deadlineMissed(PendingRequest request, Response late) {}
        };
        scheduler.after(networkDelayMicros, () -> router.post(routerCore -> {
            pending[0] = PendingRequest.builder(attempt.call(), attempt.model().name(),
                router.now().plus(Duration.ofNanos((attempt.limit() - scheduler.now()) * 1000)),
                listener).requestClass(
                    attempt.model().workload()).tenant(
                        routerSettings.tenantIndex(attempt.customer())).durationHint(
                            Duration.ofNanos((long) (attempt.model().work() * 1000))).idempotencyKey(
                                attempt.key()).replica(
                                    functionSettings.memoryMb(), functionSettings.slots()).build();
            if (variant.before() == Variant.Before.STATIC
                && rejectedByStaticThreshold(router, attempt.model().workload(), routerSettings)) {
                listener.responded(pending[0], Response.rejected(Duration.ofMillis(500)));
            } else if (!router.gate().offer(pending[0])) {
                scheduler.after(networkDelayMicros, () -> complete(completed, then, "refused", 503, -1));
            }
        }));
        scheduler.after(attempt.limit() - began, () -> {
            if (!completed[0]) {
                complete(completed, then, "gave-up", 0, -1);
                if (pending[0] != null) { router.post(routerCore -> routerCore.clientLeft(pending[0])); }
            }
        });
    }

    /** The baseline of a static cut-off: so many held at a router, and what is less important is turned away. */
    private boolean rejectedByStaticThreshold(EmulatedRouter router, int requestClass,
        RouterSettings routerSettings) {
        double maxWeight = 0;
        for (int w = 0; w < routerSettings.requestClassCount(); w++) {
            maxWeight = Math.max(maxWeight, routerSettings.priorityWeight(w));
        }
        return routerSettings.priorityWeight(requestClass) < maxWeight
            && router.gate().core().pendingRequests() >= scenario.staticHeld();
    }

    private static void complete(boolean[] completed, ClientTransport.ResultHandler then, String outcome,
        int status,
        long retryAfterMillis) {
        if (!completed[0]) {
            completed[0] = true;
            then.ended(outcome, status, retryAfterMillis);
        }
    }

    /** Plays so many seconds, and what is still out to its end; {@code each} is called once a second. */
    void play(long seconds, java.util.function.LongConsumer everySecond) {
        long startedAt = scheduler.now();
        long end = startedAt + seconds * 1_000_000;
        clients.start(end);
        scenario.script().forEach(fault -> scheduler.after(fault.at(), () -> inject(fault)));
        for (long s = 0; s < seconds; s++) {
            scheduler.run(startedAt + (s + 1) * 1_000_000);
            everySecond.accept(s);
        }
        scheduler.run(end + 10_000_000);
    }

    private void inject(Scenario.Fault fault) {
        if (loadFaults.bring(fault)) { return; }
        switch (fault.verb()) {
            case SLOW -> {
                List<EmulatedWorker> selected = selectWorkers(fault.part());
                selected.forEach(worker -> worker.slow(fault.size()));
                scheduler.after(fault.lasts(), () -> selected.forEach(worker -> worker.slow(1)));
            }
            case WORKERS_KILLED -> selectWorkers(fault.part()).forEach(worker -> {
                worker.die();
                scheduler.after(fault.lasts(), () -> {
                    reportState(worker.name(), WorkerState.GONE);
                    startWorker(true);
                });
            });
            case ROUTERS_RESTARTED -> {
                for (int i = 0; i < Math.max(1, Math.round(fault.part() * scenario.routers())); i++) {
                    startRouter(i);
                }
            }
            default -> throw new IllegalArgumentException(
                "the emulator does not bring " + YamlDocument.word(fault.verb())
                    + "; it brings what needs no socket");
        }
    }

    private List<EmulatedWorker> selectWorkers(double part) {
        List<EmulatedWorker> all = new ArrayList<>();
        workers.forEach(
            (workerName, worker) -> { if (ready.get(workerName) && !worker.dead()) { all.add(worker); } });
        return LoadFaults.some(all, part, random);
    }
}
