package switchgap.server.gateway;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.EnumWords;
import switchgap.config.YamlRouterSettings;
import switchgap.endpoints.EndpointListWatcher;
import switchgap.endpoints.EndpointNames;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnector;
import switchgap.net.HttpServer;
import switchgap.net.KeyedWriters;
import switchgap.net.NetworkTransport;
import switchgap.net.TimerThread;
import switchgap.net.WallClock;
import switchgap.planner.LoadPlan;
import switchgap.planner.LoadPlanCounts;
import switchgap.planner.link.PlannerServer;
import switchgap.policy.RoutingPolicy;
import switchgap.protocol.invoke.InvokeApi;
import switchgap.protocol.invoke.InvokeLimits;
import switchgap.protocol.invoke.RequestCounts;
import switchgap.protocol.invoke.RouterContext;
import switchgap.router.AdmissionGate;
import switchgap.router.DeferredResults;
import switchgap.router.RouterCore;

/**
 * A running router: serves from the end of its constructor until {@link #stop} or {@link #close}.
 * Its public methods are safe from any thread.
 */
public final class GatewayRouter implements AutoCloseable {
  private enum State {
    STARTING,
    SERVING,
    /** Accepts nothing more; pending requests get their responses. */
    STOPPING,
    STOPPED
  }

  /** Carries what the planner does to the event loop. */
  private final class PlannerListener implements PlannerServer.Listener {
    @Override
    public void plannerConnected(long epoch) {
      loop.post(core -> planned.plannerConnected(core, epoch));
    }

    @Override
    public void plannerDisconnected(long epoch) {
      loop.post(core -> planned.plannerDisconnected(core, epoch));
    }

    @Override
    public void planReceived(LoadPlan plan) {
      loop.post(core -> planned.planReceived(core, plan));
    }
  }

  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);
  private static final int EXIT_CODE_TICK_FAILED = 70;
  private static final long SWEEP_INTERVAL_SECONDS = 1;
  private static final long STOP_POLL_MILLIS = 5;
  private static final int ID_RADIX = 36;

  private final GatewayConfig config;
  private final YamlRouterSettings settings;
  private final long startedAtMillis; // wall time
  private final AtomicReference<State> state = new AtomicReference<>(State.STARTING);
  private final LatenessRecorder lateness = new LatenessRecorder();
  private final AtomicReference<AdmissionGate> gate =
      new AtomicReference<>(); // set in the first tick
  private final NetworkTransport network;
  private final KeyedWriters writers;
  private final HttpClientConnector connections;
  private final CoreFactory transports;
  private final EventLoop loop;
  private final PlannedWorkerTransport planned; // null: load commands go out without a plan
  private final AdmissionController admission; // null: admission control is off
  private final InvokeApi api;
  private final HttpServer server;
  private final EndpointListWatcher watcher; // null: the configuration names all workers
  private final ScheduledFuture<?> sweeper;
  private final PlannerServer planners; // null where planned is
  private final int port;

  /** Starts a router with the routing policy; fails where it can't listen. */
  public GatewayRouter(GatewayConfig config) throws IOException {
    this(config, new RoutingPolicy(config.settings(), config.seed())::tick);
  }

  /** Starts a router with any policy: to measure the routing policy against a baseline. */
  public GatewayRouter(GatewayConfig config, RouterCore.Policy policy) throws IOException {
    this.config = config;
    settings = config.settings();
    int index = settings.routerIndex();
    int threads = config.listener().selectorThreads();
    network = new NetworkTransport(threads, "router-" + index);
    JvmWarmup.run(settings, network);
    startedAtMillis = WallClock.unixMillis();
    writers = new KeyedWriters(threads, "carrier-" + index);
    connections =
        new HttpClientConnector(
            network, config.workers().sourceAddress(), config.workers().maxResponseBytes());
    transports = new CoreFactory(config, policy, connections, writers);
    loop =
        new EventLoop(
            transports,
            "loop-" + index,
            lateness::record,
            GatewayRouter::tickFailed,
            network::awaitPendingReads);
    planned = transports.planned();
    admission = createAdmissionController();
    loop.post(this::createAdmissionGate);
    api = createApi();
    api.setStatusSource(new RouterStatus(index, api, admission, planned)::toJson);
    server = new HttpServer(network, config.listener().limits(), api);
    watcher = createWatcher();
    followEndpointList();
    sweeper =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::sweep, SWEEP_INTERVAL_SECONDS, SWEEP_INTERVAL_SECONDS, TimeUnit.SECONDS);
    loop.start();
    planners = openPlannerServer();
    if (planners != null) {
      loop.post(core -> planned.setBacklogSender(planners::send));
    }
    port = listen();
    state.set(State.SERVING);
    LOG.info(
        "router {} of {} serves at {}:{}",
        index,
        settings.routerCount(),
        config.listener().host(),
        port);
  }

  // ------------------------------------------------------------------ start, in the order of use

  private AdmissionController createAdmissionController() {
    if (!settings.admissionControlEnabled()) {
      return null;
    }
    return new AdmissionController(
        settings.admissionSettings(), config.seed() * 31 + startedAtMillis);
  }

  private void createAdmissionGate(RouterCore core) {
    AdmissionGate created = new AdmissionGate(core, settings, admission, this::logLevelChange);
    gate.set(created);
    if (admission != null && settings.pinnedLevel() != null) {
      created.pin(settings.pinnedLevel(), settings.pinDuration());
    }
  }

  private InvokeApi createApi() {
    GatewayConfig.RequestLimits limits = config.requestLimits();
    String idPrefix =
        "r" + settings.routerIndex() + "-" + Long.toString(startedAtMillis, ID_RADIX) + "-";
    DeferredResults deferred =
        new DeferredResults(
            idPrefix + "d",
            limits.resultRetention(),
            limits.maxDeferred(),
            limits.maxDeferredBytes());
    return new InvokeApi(
        settings,
        new RouterContext(loop::now, loop::post, gate::get),
        writers,
        deferred,
        idPrefix,
        new InvokeLimits(limits.maxPending(), limits.maxPollSeconds()));
  }

  private EndpointListWatcher createWatcher() {
    GatewayConfig.EndpointList endpoints = config.endpoints();
    if (endpoints.service() == null) {
      return null;
    }
    EndpointNames names =
        new EndpointNames(settings::zoneIndex, settings::workerKindIndex, startedAtMillis);
    return new EndpointListWatcher(
        connections,
        endpoints.service(),
        settings.routerIndex(),
        endpoints.retryInterval(),
        names,
        loop::postUrgent);
  }

  private void followEndpointList() {
    GatewayConfig.EndpointList endpoints = config.endpoints();
    if (!endpoints.staticWorkers().isEmpty()) {
      loop.post(core -> core.endpointListReceived(true, endpoints.staticWorkers()));
    }
    if (watcher != null) {
      transports.onEndpointListRequest(watcher::follow);
      watcher.follow();
    }
  }

  private void sweep() {
    transports.workers().sweep();
    loop.post(core -> gate.get().tick());
  }

  private PlannerServer openPlannerServer() throws IOException {
    if (planned == null) {
      return null;
    }
    return new PlannerServer(
        network,
        config.planner().getHostString(),
        config.planner().getPort(),
        settings.routerIndex(),
        new PlannerListener());
  }

  private int listen() throws IOException {
    GatewayConfig.ListenerConfig listener = config.listener();
    try {
      return server.listen(listener.host(), listener.port());
    } catch (IOException e) {
      close();
      throw new IOException(
          "can't listen at " + listener.host() + ":" + listener.port() + ": " + e.getMessage(), e);
    }
  }

  // ------------------------------------------------------------------ while it runs

  /**
   * A change of level is what an operator acts on: one line, with the figures that met the
   * condition.
   */
  private void logLevelChange(ServiceLevelChange change) {
    LOG.warn(
        "level {} to {} for {}: {} (pressure {}, evidence {} calls)",
        EnumWords.wordOf(change.previous()),
        EnumWords.wordOf(change.current()),
        change.tenant() < 0 ? "all" : settings.tenantName(change.tenant()),
        change.condition(),
        String.format(Locale.ROOT, "%.3f", change.pressure()),
        Math.round(change.samples()));
  }

  private static void tickFailed(Throwable failure) {
    LOG.error("a tick failed; the router stops, its clients may retry", failure);
    Runtime.getRuntime().halt(EXIT_CODE_TICK_FAILED);
  }

  /** The port at which it serves. */
  public int port() {
    return port;
  }

  /** The port at which the planner is expected, 0 where none is. */
  public int plannerPort() {
    return planners == null ? 0 : planners.port();
  }

  /**
   * Load commands and plans so far; null where no planner is expected. The event loop counts
   * without synchronization, so another thread may see counts of a moment ago.
   */
  public LoadPlanCounts loadPlanCounts() {
    return planned == null ? null : planned.counts();
  }

  /** Requests that are pending now. */
  public int pendingRequests() {
    return api.pendingRequests();
  }

  /** Requests that have ended so far. */
  public RequestCounts requestCounts() {
    return api.requestCounts();
  }

  /** A copy of the event loop's lateness, microseconds. */
  public Histogram lateness() {
    return lateness.snapshot();
  }

  // ------------------------------------------------------------------ stop

  /**
   * Accepts nothing more, waits until all pending requests have their responses, at most for the
   * longest timeout of a request, then closes. Does nothing unless the router serves.
   */
  public void stop() {
    if (!state.compareAndSet(State.SERVING, State.STOPPING)) {
      return;
    }
    api.stopAccepting();
    server.stopListening();
    LOG.info("stopping: {} requests are pending", api.pendingRequests());
    awaitPendingRequests();
    logTotals();
    close();
  }

  private void awaitPendingRequests() {
    long deadline = System.nanoTime() + settings.longestTimeout().toNanos();
    while (api.pendingRequests() > 0 && System.nanoTime() - deadline < 0) {
      try {
        Thread.sleep(STOP_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void logTotals() {
    RequestCounts counts = api.requestCounts();
    Histogram late = lateness();
    LOG.info(
        "stopped: {} succeeded, {} rejected, {} failed, {} overdue; loop lateness in us: p50 {} p99"
            + " {} p99.9 {} max {}",
        counts.succeeded(),
        counts.rejected(),
        counts.failed(),
        counts.overdue(),
        late.getValueAtPercentile(50),
        late.getValueAtPercentile(99),
        late.getValueAtPercentile(99.9),
        late.getMaxValue());
  }

  /** Closes at once: pending requests get no response. */
  @Override
  public void close() {
    if (state.getAndSet(State.STOPPED) == State.STOPPED) {
      return;
    }
    sweeper.cancel(false);
    if (watcher != null) {
      watcher.close();
    }
    server.close();
    if (planners != null) {
      planners.close();
    }
    loop.stop();
    transports.workers().close();
    writers.close();
    network.close();
  }
}
