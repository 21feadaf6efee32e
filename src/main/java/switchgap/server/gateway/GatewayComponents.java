package switchgap.server.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.config.YamlRouterSettings;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnector;
import switchgap.net.HttpServer;
import switchgap.net.KeyedWriters;
import switchgap.net.NetworkTransport;
import switchgap.net.TimerThread;
import switchgap.net.WallClock;
import switchgap.protocol.invoke.InvokeApi;
import switchgap.protocol.invoke.InvokeLimits;
import switchgap.protocol.invoke.RouterContext;
import switchgap.router.DeferredResults;
import switchgap.router.RouterCore;

/**
 * The parts of one router: creates, starts and closes them, each after the parts that it depends on
 * or before them. {@link GatewayRouter} decides when.
 */
final class GatewayComponents implements AutoCloseable {
  /** For the writes of a shutdown. */
  private static final Duration MAX_WRITE_WAIT = Duration.ofSeconds(1);

  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);
  private static final int EXIT_CODE_TICK_FAILED = 70;
  private static final long SWEEP_INTERVAL_SECONDS = 1;
  private static final int ID_RADIX = 36;
  private static final int SEED_MULTIPLIER = 31;

  private final GatewayConfig config;
  private final YamlRouterSettings settings;
  private final long startedAtMillis; // wall time
  private final LatenessRecorder lateness = new LatenessRecorder();
  private final NetworkTransport network;
  private final KeyedWriters writers;
  private final CoreFactory cores;
  private final EventLoop loop;
  private final GatewayAdmission admission;
  private final InvokeApi api;
  private final RouterStatus status;
  private final HttpServer server;
  private final EndpointListSource endpoints;
  private ScheduledFuture<?> sweeper;
  private PlannerEndpoint planner; // null: load commands are sent without a plan

  /** Creates all parts and warms up the JVM; nothing is accepted before {@link #start}. */
  GatewayComponents(GatewayConfig config, RouterCore.Policy policy) throws IOException {
    this.config = config;
    settings = config.settings();
    int index = settings.routerIndex();
    int threads = config.listener().selectorThreads();
    network = new NetworkTransport(threads, "router-" + index);
    JvmWarmup.run(settings, network);
    startedAtMillis = WallClock.unixMillis();
    writers = new KeyedWriters(threads, "writer-" + index);
    HttpClientConnector connections =
        new HttpClientConnector(
            network, config.workers().sourceAddress(), config.workers().maxResponseBytes());
    cores = new CoreFactory(config, policy, connections, writers);
    loop =
        new EventLoop(
            cores,
            "loop-" + index,
            lateness::record,
            GatewayComponents::tickFailed,
            network::awaitPendingReads);
    admission = new GatewayAdmission(settings, config.seed() * SEED_MULTIPLIER + startedAtMillis);
    loop.post(admission::createGate);
    api = createApi();
    status = new RouterStatus(index, api, admission.controller(), cores.planned(), lateness);
    api.setStatusSource(status::toJson);
    server = new HttpServer(network, config.listener().limits(), api);
    endpoints = new EndpointListSource(config, connections, loop, startedAtMillis);
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
        new RouterContext(loop::now, loop::post, admission::gate),
        writers,
        deferred,
        idPrefix,
        new InvokeLimits(limits.maxPending(), limits.maxPollSeconds()));
  }

  private static void tickFailed(Throwable failure) {
    LOG.error("a tick failed; the router stops, its clients may retry", failure);
    Runtime.getRuntime().halt(EXIT_CODE_TICK_FAILED);
  }

  /**
   * Starts all parts but the clients' port; called once.
   *
   * @throws IOException where the planner's port can't be opened
   */
  void start() throws IOException {
    endpoints.start(cores);
    sweeper =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::sweep, SWEEP_INTERVAL_SECONDS, SWEEP_INTERVAL_SECONDS, TimeUnit.SECONDS);
    loop.start();
    if (cores.planned() != null) {
      planner =
          new PlannerEndpoint(
              network, config.planner(), settings.routerIndex(), loop, cores.planned());
    }
  }

  private void sweep() {
    cores.workers().sweep();
    loop.post(core -> admission.gate().tick());
  }

  /** Opens the clients' port and returns its number. */
  int listen() throws IOException {
    return server.listen(config.listener().host(), config.listener().port());
  }

  /** Closes the clients' port and accepts no further requests; pending ones get their responses. */
  void stopAccepting() {
    api.stopAccepting();
    server.stopListening();
  }

  /** Waits until the responses decided on so far are written, for a bounded time. */
  void awaitWrites() throws InterruptedException {
    if (!writers.awaitPending(MAX_WRITE_WAIT)) {
      LOG.warn("responses were not written within {}", MAX_WRITE_WAIT);
    }
  }

  /** The port at which the planner is expected, 0 where none is. */
  int plannerPort() {
    return planner == null ? 0 : planner.port();
  }

  /** What the router reports of itself. */
  RouterStatus status() {
    return status;
  }

  /** Closes all parts at once; pending requests get no response. After {@link #start} only. */
  @Override
  public void close() {
    sweeper.cancel(false);
    endpoints.close();
    server.close();
    if (planner != null) {
      planner.close();
    }
    loop.stop();
    cores.workers().close();
    writers.close();
    network.close();
  }
}
