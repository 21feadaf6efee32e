package switchgap.server.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.endpoints.EndpointListWatcher;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpServer;
import switchgap.net.KeyedWriters;
import switchgap.net.NetworkTransport;
import switchgap.net.TimerThread;
import switchgap.planner.LoadPlan;
import switchgap.planner.link.PlannerServer;
import switchgap.policy.RoutingPolicy;
import switchgap.protocol.inference.InferenceWorkerTransport;
import switchgap.protocol.invoke.InvokeApi;
import switchgap.router.AdmissionGate;
import switchgap.router.CoreLimits;
import switchgap.router.DeferredResults;
import switchgap.router.RouterCore;

/** A running router. States: STARTING, SERVING, STOPPING (answers what it holds), STOPPED. */
public final class GatewayRouter implements AutoCloseable {
    private enum State { STARTING, SERVING, STOPPING, STOPPED }

    private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);
    private final AtomicReference<State> state = new AtomicReference<>(State.STARTING);
    private final NetworkTransport net;
    private final KeyedWriters carriers;
    private final EventLoop loop;
    private final Histogram lateness = new Histogram(60_000_000, 2); // microseconds; read by others through lateness()
    private final InvokeApi api;
    private final HttpServer door;
    private final EndpointListWatcher watch;
    private final Duration longest;
    private final ScheduledFuture<?> sweeper;
    private final InferenceWorkerTransport workers;
    private final PlannedWorkerTransport planned; // null: one program, orders go straight out
    private final PlannerServer planners;
    private final int port;

    public GatewayRouter(GatewayConfig page) throws IOException {
        this(page, new RoutingPolicy(page.terms(), page.seed())::tick);
    }

    /** A router under another decider: for measurements of the module beside a baseline. */
    public GatewayRouter(GatewayConfig page, RouterCore.Policy decide) throws IOException {
        YamlRouterSettings terms = page.terms();
        net = new NetworkTransport(page.selectors(), "router-" + terms.routerIndex());
        JvmWarmup.run(terms, net);
        long bornWall = System.currentTimeMillis();
        carriers = new KeyedWriters(page.selectors(), "carrier-" + terms.routerIndex());
        HttpClientConnection.Factory opener = new HttpClientConnection.Factory(net, page.from(),
            page.answerBytes());
        AtomicReference<Runnable> listening = new AtomicReference<>(() -> {});
        AtomicReference<InferenceWorkerTransport> made = new AtomicReference<>();
        AtomicReference<PlannedWorkerTransport> behind = new AtomicReference<>();
        loop = new EventLoop(l -> {
            made.set(new InferenceWorkerTransport(opener, page.links(), carriers, l::post,
                () -> listening.get().run()));
            if (page.planner() != null) {
                behind.set(new PlannedWorkerTransport(made.get(), terms, page.patience(), l::post));
            }
            return new RouterCore(terms, decide, behind.get() == null ? made.get() : behind.get(),
                new CoreLimits(page.orderLimit(), page.probeLimit(), page.mostFunctions()));
        }, "loop-" + terms.routerIndex(), this::late, GatewayRouter::failed);
        workers = made.get();
        planned = behind.get();
        AdmissionController levels = terms.admissionControlEnabled()
            ? new AdmissionController(terms.admissionSettings(), page.seed() * 31 + bornWall) : null;
        AtomicReference<AdmissionGate> gate = new AtomicReference<>();
        loop.post(c -> {
            gate.set(new AdmissionGate(c, terms, levels, x -> told(terms, x)));
            if (levels != null && terms.pinnedLevel() != null) {
                gate.get().pin(terms.pinnedLevel(), terms.pinDuration());
            }
        });
        String start = "r" + terms.routerIndex() + "-" + Long.toString(bornWall, 36) + "-";
        DeferredResults deferred = new DeferredResults(start + "d", page.kept(), page.mostDeferred(),
            page.mostDeferredBytes());
        api = new InvokeApi(terms, loop::now, loop::post, carriers, deferred, gate::get, start,
            page.mostHeld(), page.mostWait());
        api.statusPage(c -> RouterStatus.show(terms.routerIndex(), c, api.pendingRequests(), api.endCounts(),
            levels, planned));
        door = new HttpServer(net, page.bounds(), api);
        watch = page.list() == null ? null
            : new EndpointListWatcher(opener, page.list(), terms.routerIndex(), bornWall, page.listAgain(),
                terms::zoneIndex, terms::workerKindIndex, loop::postUrgent);
        if (!page.fixed().isEmpty()) { loop.post(c -> c.endpointListReceived(true, page.fixed())); }
        if (watch != null) {
            listening.set(watch::follow);
            watch.follow();
        }
        longest = terms.longestTimeout();
        sweeper = TimerThread.EXECUTOR.scheduleAtFixedRate(() -> {
            workers.sweep();
            loop.post(c -> gate.get().tick());
        }, 1, 1, TimeUnit.SECONDS);
        loop.start();
        planners = planned == null ? null
            : new PlannerServer(net, page.planner().getHostString(), page.planner().getPort(),
                terms.routerIndex(),
                new PlannerServer.Listener() {
                    @Override public void plannerConnected(
                        long epoch) { loop.post(c -> planned.linked(c, epoch)); }

                    @Override public void plannerDisconnected(long epoch) {
                        loop.post(c -> planned.unlinked(c, epoch));
                    }

                    @Override public void planReceived(LoadPlan p) { loop.post(c -> planned.plan(c, p)); }
                });
        if (planners != null) { loop.post(c -> planned.teller(planners::send)); }
        try {
            port = door.listen(page.host(), page.port());
        } catch (IOException e) {
            close();
            throw new IOException(
                "can't listen at " + page.host() + ":" + page.port() + ": " + e.getMessage(), e);
        }
        state.set(State.SERVING);
        LOG.info("router {} of {} serves at {}:{}", terms.routerIndex(), terms.routerCount(), page.host(),
            port);
    }

    /** A change of level is what an operator acts on: one line, with the figures that met the condition. */
    private static void told(YamlRouterSettings terms, ServiceLevelChange c) {
        LOG.warn("level {} to {} for {}: {} (pressure {}, evidence {} calls)", YamlDocument.word(c.from()),
            YamlDocument.word(c.to()),
            c.tenant() < 0 ? "all" : terms.tenantName(c.tenant()), c.condition(),
            String.format(java.util.Locale.ROOT, "%.3f", c.pressure()), Math.round(c.samples()));
    }

    public int port() { return port; }

    /** The port at which the planner is expected, 0 where none is. */
    public int plannerPort() {
        return planners == null ? 0 : planners.port();
    }

    /** Loads led by a plan, let out as their time was over, stale and refused parts of plans; null where none is expected. */
    public long[] plans() {
        return planned == null ? null : planned.counts();
    }

    /** Calls held now. */
    public int held() { return api.pendingRequests(); }

    /** Calls ended: finished, pushed back, killed, overdue. */
    public long[] ends() {
        return api.endCounts();
    }

    /** Microseconds by which the loop came late. */
    public Histogram lateness() {
        synchronized (lateness) {
            return lateness.copy();
        }
    }

    private void late(long micros) {
        synchronized (lateness) {
            lateness.recordValue(Math.min(micros, lateness.getHighestTrackableValue()));
        }
    }

    private static void failed(Throwable e) {
        LOG.error("a round failed; the router stops, its clients may retry", e);
        Runtime.getRuntime().halt(70);
    }

    /** Takes nothing more, waits until all that is held has its answer, then closes. */
    public void stop() {
        if (!state.compareAndSet(State.SERVING, State.STOPPING)) { return; }
        api.stopAccepting();
        door.stopListening();
        LOG.info("stopping: {} calls are held", api.pendingRequests());
        long end = System.nanoTime() + longest.toNanos();
        while (api.pendingRequests() > 0 && System.nanoTime() < end) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        long[] n = api.endCounts();
        Histogram late = lateness();
        LOG.info(
            "stopped: {} finished, {} pushed back, {} killed, {} overdue; loop late by us: p50 {} p99 {} p99.9 {} "
                + "most {}",
            n[0], n[1], n[2], n[3], late.getValueAtPercentile(50), late.getValueAtPercentile(99),
            late.getValueAtPercentile(99.9), late.getMaxValue());
        close();
    }

    @Override public void close() {
        if (state.getAndSet(State.STOPPED) == State.STOPPED) { return; }
        sweeper.cancel(false);
        if (watch != null) { watch.close(); }
        door.close();
        if (planners != null) { planners.close(); }
        loop.stop();
        workers.close();
        carriers.close();
        net.close();
    }
}
