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

    final Scenario day;
    final VirtualTimeScheduler ticker = new VirtualTimeScheduler();
    final FunctionCatalogue catalogue;
    final EmulatedClients clients;
    final long quantum;
    final long hop;
    final List<RouterLevelChange> changes = new ArrayList<>();
    final List<EmulatedRouter> routers = new ArrayList<>();
    private final Variant variant;
    private final Map<String, EmulatedWorker> machines = new LinkedHashMap<>();
    private final Map<String, Boolean> ready = new LinkedHashMap<>();
    private final List<YamlRouterSettings> terms = new ArrayList<>();
    private final EmulatedStore store;
    private final LoadFaults loads;
    private final SplittableRandom chance;
    private final long seed;
    private int next;

    Emulator(Scenario day, long seed, Variant variant, LongToDoubleFunction curve) {
        this.day = day;
        this.seed = seed;
        this.variant = variant;
        this.quantum = 1000;
        this.hop = 300;
        this.chance = new SplittableRandom(seed);
        switchgap.emulator.EventRecorder nothing = switchgap.emulator.EventRecorder.none();
        catalogue = day.catalogue(seed);
        store = new EmulatedStore(ticker, nothing, day.storeTakes(), day.storeDown());
        clients = day.clients(ticker, this::send, catalogue, seed + 1);
        clients.curve(curve);
        loads = new LoadFaults(ticker, clients, catalogue, store, day.customers());
        for (int i = 0; i < day.workers(); i++) { start(false); }
        catalogue.seed(List.copyOf(machines.values()));
        for (int i = 0; i < day.routers(); i++) {
            terms.add(new YamlRouterSettings(
                YamlDocument.read("router " + i, day.routerPage(i, 1, 1, catalogue, variant.terms()))));
            clients.zone(i, day.zone(i));
            routers.add(null);
            router(i);
        }
    }

    /** Starts a router with nothing but the list. */
    void router(int i) {
        if (routers.get(i) != null) { routers.get(i).kill(); }
        EmulatedRouter r = new EmulatedRouter(this);
        routers.set(i, r);
        YamlRouterSettings t = terms.get(i);
        long own = seed * 31 + i * 7919L + ticker.now();
        RouterCore core = new RouterCore(t, new RoutingPolicy(t, own)::tick, r,
            new CoreLimits(Duration.ofSeconds(10), Duration.ofMillis(250), 20_000));
        AdmissionController levels = variant.before() == Variant.Before.LEVELS
            ? new AdmissionController(t.admissionSettings(), own + 1) : null;
        if (levels != null && variant.pinned() != null) {
            levels.pin(r.now(), variant.pinned(), Duration.ofDays(1000));
        }
        r.gate(new AdmissionGate(core, t, levels, c -> changes.add(new RouterLevelChange(i, c))));
        List<EndpointUpdate> list = new ArrayList<>();
        machines.keySet().forEach(n -> { if (ready.get(n)) { list.add(line(n, WorkerState.READY, r)); } });
        r.post(c -> c.endpointListReceived(true, list));
    }

    private EndpointUpdate line(String name, WorkerState s, EmulatedRouter r) {
        int n = Integer.parseInt(name.substring(1));
        EmulatedWorker m = machines.get(name);
        return new EndpointUpdate(name, "emulated", 1, s, day.zoneOf(n), n / day.cellSize(),
            terms.isEmpty() ? 0
                : terms.get(0).workerKindIndex(day.kindName(n)),
            day.sizeOf(n),
            m.cold() ? r.now().minus(Duration.ofNanos((ticker.now() - m.started()) * 1000)) : null);
    }

    private void start(boolean cold) {
        int n = next++;
        String name = "w" + n;
        machines.put(name,
            new EmulatedWorker(day.makeOf(n), ticker, store, name, seed + 1000 + n, cold, () -> {}));
        ready.put(name, true);
        if (cold) { tell(name, WorkerState.READY); }
    }

    /** Mean share of cores at work, over the workers that run. */
    double busy() {
        return machines.values().stream().filter(m -> !m.dead()).mapToDouble(
            EmulatedWorker::busy).average().orElse(0);
    }

    EmulatedWorker machine(String name) { return machines.get(name); }

    private void tell(String name, WorkerState s) {
        ready.put(name, s == WorkerState.READY);
        ticker.after(day.listLag(), () -> routers.forEach(r -> {
            EndpointUpdate l = line(name, s, r);
            r.post(c -> c.endpointListReceived(false, List.of(l)));
        }));
    }

    private void send(ClientTransport.ClientAttempt t, ClientTransport.ResultHandler then) {
        EmulatedRouter r = routers.get(t.router());
        YamlRouterSettings own = terms.get(t.router());
        YamlRouterSettings.FunctionSettings e = own.function(t.model().name());
        long began = ticker.now();
        boolean[] over = {false};
        PendingRequest[] call = new PendingRequest[1];
        ResponseListener asker = new ResponseListener() {
            @Override public void responded(PendingRequest c, Response a) {
                ticker.after(hop, () -> over(over, then, switch (a.kind()) {
                    case SUCCEEDED -> "finished";
                    case REJECTED -> "pushed-back";
                    case FAILED -> "killed";
                }, a.kind() == Response.Kind.SUCCEEDED ? 200 : 503,
                    a.retryAfter() == null ? -1 : a.retryAfter().toMillis()));
            }

            @Override public void deadlineMissed(PendingRequest c, Response late) {}
        };
        ticker.after(hop, () -> r.post(c -> {
            call[0] = PendingRequest.builder(t.call(), t.model().name(),
                r.now().plus(Duration.ofNanos((t.limit() - ticker.now()) * 1000)), asker).requestClass(
                    t.model().workload()).tenant(own.tenantIndex(t.customer())).durationHint(
                        Duration.ofNanos((long) (t.model().work() * 1000))).idempotencyKey(t.key()).replica(
                            e.memoryMb(), e.slots()).build();
            if (variant.before() == Variant.Before.STATIC && cutOff(r, t.model().workload(), own)) {
                asker.responded(call[0], Response.rejected(Duration.ofMillis(500)));
            } else if (!r.gate().offer(call[0])) {
                ticker.after(hop, () -> over(over, then, "refused", 503, -1));
            }
        }));
        ticker.after(t.limit() - began, () -> {
            if (!over[0]) {
                over(over, then, "gave-up", 0, -1);
                if (call[0] != null) { r.post(c -> c.clientLeft(call[0])); }
            }
        });
    }

    /** The baseline of a static cut-off: so many held at a router, and what is less important is turned away. */
    private boolean cutOff(EmulatedRouter r, int workload, RouterSettings t) {
        double most = 0;
        for (int w = 0; w < t.requestClassCount(); w++) { most = Math.max(most, t.priorityWeight(w)); }
        return t.priorityWeight(workload) < most && r.gate().core().pendingRequests() >= day.staticHeld();
    }

    private static void over(boolean[] over, ClientTransport.ResultHandler then, String end, int status,
        long comeBack) {
        if (!over[0]) {
            over[0] = true;
            then.ended(end, status, comeBack);
        }
    }

    /** Plays so many seconds, and what is still out to its end; {@code each} is called once a second. */
    void play(long seconds, java.util.function.LongConsumer each) {
        long from = ticker.now();
        long end = from + seconds * 1_000_000;
        clients.start(end);
        day.script().forEach(t -> ticker.after(t.at(), () -> bring(t)));
        for (long s = 0; s < seconds; s++) {
            ticker.run(from + (s + 1) * 1_000_000);
            each.accept(s);
        }
        ticker.run(end + 10_000_000);
    }

    private void bring(Scenario.Fault t) {
        if (loads.bring(t)) { return; }
        switch (t.verb()) {
            case SLOW -> {
                List<EmulatedWorker> some = some(t.part());
                some.forEach(m -> m.slow(t.size()));
                ticker.after(t.lasts(), () -> some.forEach(m -> m.slow(1)));
            }
            case WORKERS_KILLED -> some(t.part()).forEach(m -> {
                m.die();
                ticker.after(t.lasts(), () -> {
                    tell(m.name(), WorkerState.GONE);
                    start(true);
                });
            });
            case ROUTERS_RESTARTED -> {
                for (int i = 0; i < Math.max(1, Math.round(t.part() * day.routers())); i++) { router(i); }
            }
            default -> throw new IllegalArgumentException(
                "the emulator does not bring " + YamlDocument.word(t.verb())
                    + "; it brings what needs no socket");
        }
    }

    private List<EmulatedWorker> some(double part) {
        List<EmulatedWorker> all = new ArrayList<>();
        machines.forEach((n, m) -> { if (ready.get(n) && !m.dead()) { all.add(m); } });
        return LoadFaults.some(all, part, chance);
    }
}
