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
 * Creates, starts and closes the components of one router in the order of their dependencies.
 * {@link GatewayRouter} controls the life cycle.
 */
final class GatewayComponents implements AutoCloseable {
  /** Longest wait for pending response writes during a shutdown. */
  private static final Duration MAX_WRITE_WAIT = Duration.ofSeconds(1);

  /** Uses the name of {@link GatewayRouter}, since operators filter log lines by it. */
  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);

  private static final int EXIT_CODE_TICK_FAILED = 70;
  private static final long PERIODIC_TASK_INTERVAL_SECONDS = 1;
  private static final int REQUEST_ID_RADIX = 36;
  private static final int SEED_MULTIPLIER = 31;

  private final GatewayConfig config;
  private final YamlRouterSettings settings;

  /** Wall time of the router's start, in milliseconds of Unix time. */
  private final long startedAtMillis;

  private final LatenessRecorder lateness = new LatenessRecorder();
  private final NetworkTransport network;
  private final KeyedWriters writers;
  private final CoreFactory coreFactory;
  private final EventLoop loop;
  private final GatewayAdmission admission;
  private final InvokeApi api;
  private final RouterStatus status;
  private final HttpServer server;
  private final EndpointListSource endpointListSource;
  private ScheduledFuture<?> periodicTasks;

  /** Null if no planner is configured; load commands are sent without a plan then. */
  private PlannerEndpoint plannerEndpoint;

  /**
   * Creates all components and warms up the JVM; its ports stay closed until {@link #start} and
   * {@link #listen}.
   */
  GatewayComponents(GatewayConfig config, RouterCore.Policy policy) throws IOException {
    this.config = config;
    settings = config.settings();
    int routerIndex = settings.routerIndex();
    int threadCount = config.listener().selectorThreads();
    network = new NetworkTransport(threadCount, "router-" + routerIndex);
    JvmWarmup.run(settings, network);
    startedAtMillis = WallClock.unixMillis();
    writers = new KeyedWriters(threadCount, "writer-" + routerIndex);
    HttpClientConnector connector =
        new HttpClientConnector(
            network, config.workers().sourceAddress(), config.workers().maxResponseBytes());
    coreFactory = new CoreFactory(config, policy, connector, writers);
    loop =
        new EventLoop(
            coreFactory,
            "loop-" + routerIndex,
            lateness::record,
            GatewayComponents::haltAfterFailedTick,
            network::awaitPendingReads);
    admission = new GatewayAdmission(settings, config.seed() * SEED_MULTIPLIER + startedAtMillis);
    loop.post(admission::createGate);
    api = createApi();
    status =
        new RouterStatus(
            routerIndex, api, admission.controller(), coreFactory.plannedTransport(), lateness);
    api.setStatusSource(status::toJson);
    server = new HttpServer(network, config.listener().limits(), api);
    endpointListSource = new EndpointListSource(config, connector, loop, startedAtMillis);
  }

  private InvokeApi createApi() {
    GatewayConfig.RequestLimits limits = config.requestLimits();
    String idPrefix =
        "r" + settings.routerIndex() + "-" + Long.toString(startedAtMillis, REQUEST_ID_RADIX) + "-";
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

  private static void haltAfterFailedTick(Throwable failure) {
    LOG.error(
        "event loop tick failed, its state may be inconsistent; halting the process, pending"
            + " requests get no response",
        failure);
    Runtime.getRuntime().halt(EXIT_CODE_TICK_FAILED);
  }

  /**
   * Starts all components without opening the port for clients; called once.
   *
   * @throws IOException if the port for the planner can't be opened
   */
  void start() throws IOException {
    endpointListSource.start(coreFactory);
    periodicTasks =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::runPeriodicTasks,
            PERIODIC_TASK_INTERVAL_SECONDS,
            PERIODIC_TASK_INTERVAL_SECONDS,
            TimeUnit.SECONDS);
    loop.start();
    if (coreFactory.plannedTransport() != null) {
      plannerEndpoint =
          new PlannerEndpoint(
              network,
              config.plannerAddress(),
              settings.routerIndex(),
              loop,
              coreFactory.plannedTransport());
    }
  }

  private void runPeriodicTasks() {
    coreFactory.inferenceTransport().closeExpiredConnections();
    loop.post(core -> admission.gate().tick());
  }

  /** Opens the port for clients and returns its number. */
  int listen() throws IOException {
    return server.listen(config.listener().host(), config.listener().port());
  }

  /**
   * Closes the port for clients and rejects new requests; pending ones still get their responses.
   */
  void stopAccepting() {
    api.stopAccepting();
    server.stopListening();
  }

  /** Waits until all responses so far have been written, for a bounded time. */
  void awaitWrites() throws InterruptedException {
    if (!writers.awaitPending(MAX_WRITE_WAIT)) {
      LOG.warn(
          "some responses were not written within {}; closing their connections", MAX_WRITE_WAIT);
    }
  }

  /** The port to which the planner connects, 0 if no planner is configured. */
  int plannerPort() {
    return plannerEndpoint == null ? 0 : plannerEndpoint.port();
  }

  RouterStatus status() {
    return status;
  }

  /** Closes all components; pending requests get no response. Must follow {@link #start}. */
  @Override
  public void close() {
    periodicTasks.cancel(false);
    endpointListSource.close();
    server.close();
    if (plannerEndpoint != null) {
      plannerEndpoint.close();
    }
    loop.stop();
    coreFactory.inferenceTransport().close();
    writers.close();
    network.close();
  }
}
