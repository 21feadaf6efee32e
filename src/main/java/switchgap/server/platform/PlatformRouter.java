package switchgap.server.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import switchgap.config.PropertyRouterSettings;
import switchgap.endpoints.EndpointListEvent;
import switchgap.endpoints.EventStreamClient;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnector;
import switchgap.net.ListenRetry;
import switchgap.net.NetworkTransport;
import switchgap.protocol.resp.RespConnectionLimits;
import switchgap.protocol.resp.RespProtocolSettings;
import switchgap.protocol.resp.RespWorkerTransport;
import switchgap.protocol.thrift.ClientConnectionLimits;
import switchgap.protocol.thrift.ThriftServer;
import switchgap.router.CoreLimits;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvents;

/**
 * A running router on the platform: Thrift to its clients, RESP to its workers, the control feed,
 * and the core between them on its own loop. Its methods are for any thread but the loop's.
 */
final class PlatformRouter implements AutoCloseable {
  // Descriptors, one in so many. A quarter is left for files, selectors, the listener and the event
  // stream.
  private static final int CLIENT_CONNECTION_SHARE = 3;

  /** Clients that came while the loop had no time to make room. */
  private static final int EXCESS_CONNECTION_SHARE = 12;

  private static final int WORKER_CONNECTION_SHARE = 3;

  /** Connections to one worker, descriptors allowing. */
  private static final int MAX_CONNECTIONS_PER_WORKER = 6;

  /** Exchanges that wait at one worker while a connection to it is opened. */
  private static final int MAX_WAITING_EXCHANGES = 256;

  /** Functions known at a time. */
  private static final int MAX_FUNCTIONS = 4096;

  private static final int MAX_PENDING_REQUESTS = 4096;

  /** Of the heap, one in so many, for what clients sent and for unread responses. */
  private static final int BUFFER_HEAP_SHARE = 16;

  /** Of those bytes, one in so many for one connection's unread responses. */
  private static final int UNREAD_RESPONSE_SHARE = 4;

  private static final int MAX_FEED_BODY_BYTES = 1 << 16;
  private static final int SELECTOR_THREADS = 1;

  /** Time for a message to come whole. */
  private static final Duration MESSAGE_TIMEOUT = Duration.ofSeconds(2);

  private static final Duration MAX_LOOP_WAIT = Duration.ofSeconds(2);
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);

  private final RateLimitedLog log;
  private final RouterDiagnostics diagnostics;
  private final PropertyRouterSettings settings;
  private final NetworkTransport network;
  private final EventLoop loop;
  private final RespWorkerTransport workers;
  private final ThriftServer clients;
  private final EventStreamClient feed;
  private final Duration longestTimeout;
  private volatile boolean listKnown;

  /**
   * Starts a router; it serves once this returns.
   *
   * @throws IOException if its address can't be listened at
   */
  PlatformRouter(PlatformConfig config, RateLimitedLog log) throws IOException {
    this.log = log;
    settings = config.settings();
    diagnostics = RouterDiagnostics.of(settings, log::line, log.isTracing() ? log::trace : null);
    network = new NetworkTransport(SELECTOR_THREADS, "net");
    Consumer<String> logLines = log::line;
    AtomicReference<RespWorkerTransport> transport = new AtomicReference<>();
    loop =
        new EventLoop(
            eventLoop -> {
              transport.set(workerTransport(eventLoop, config.maxSockets()));
              RouterCore core = routerCore(transport.get(), config.seed());
              core.observe(new AttemptObserver(diagnostics.events()));
              return core;
            },
            "loop",
            late -> {},
            this::tickFailed,
            network::awaitPendingReads);
    workers = transport.get();
    clients =
        new ThriftServer(
            settings,
            settings.namedIndices("Lanes"),
            settings.namedIndices("Tenants"),
            clientLimits(config.maxSockets()),
            loop::now,
            loop::post,
            diagnostics);
    longestTimeout = settings.longestTimeout();
    feed =
        new EventStreamClient(
            new HttpClientConnector(network, null, MAX_FEED_BODY_BYTES),
            config.lastSequence(),
            config.endpointNames(),
            this::eventReceived,
            logLines);
    startLoop(config);
    serve(config);
  }

  private RespWorkerTransport workerTransport(EventLoop eventLoop, int maxSockets) {
    Duration idleTimeout =
        settings.connectionIdleTimeout().dividedBy(2); // before the worker closes it
    RespConnectionLimits limits =
        new RespConnectionLimits(
            share(maxSockets, WORKER_CONNECTION_SHARE),
            MAX_CONNECTIONS_PER_WORKER,
            MAX_WAITING_EXCHANGES,
            settings.attemptsPerConnection(),
            settings.connectTimeout(),
            idleTimeout);
    RespProtocolSettings protocol =
        new RespProtocolSettings(Arrays.asList(requestClassNames()), settings.reportsConcurrency());
    return new RespWorkerTransport(
        network, limits, protocol, coreLimits(), eventLoop::now, eventLoop::post, diagnostics);
  }

  private RouterCore routerCore(RespWorkerTransport transport, long seed) {
    return new RouterCore(settings, seed, transport, coreLimits());
  }

  private CoreLimits coreLimits() {
    return new CoreLimits(settings.loadCommandTimeout(), settings.connectTimeout(), MAX_FUNCTIONS);
  }

  private ClientConnectionLimits clientLimits(int maxSockets) {
    long heapBytes = Runtime.getRuntime().maxMemory();
    int bufferBytes = (int) Math.min(Integer.MAX_VALUE, heapBytes / BUFFER_HEAP_SHARE);
    return new ClientConnectionLimits(
        share(maxSockets, CLIENT_CONNECTION_SHARE),
        share(maxSockets, EXCESS_CONNECTION_SHARE),
        bufferBytes / UNREAD_RESPONSE_SHARE,
        bufferBytes,
        Math.min(settings.maxPendingRequests(), MAX_PENDING_REQUESTS),
        MESSAGE_TIMEOUT,
        SWEEP_INTERVAL);
  }

  private static int share(int total, int share) {
    return Math.max(1, total / share);
  }

  private String[] requestClassNames() {
    String[] names = new String[settings.requestClassCount()];
    settings.namedIndices("Lanes").forEach((name, at) -> names[at] = name);
    return names;
  }

  /**
   * Starts the loop and waits until the core knows the list so far: the first request must find its
   * workers.
   */
  private void startLoop(PlatformConfig config) {
    config.knownEvents().forEach(this::eventReceived);
    CountDownLatch swept =
        postToEventLoop(
            core -> {
              listKnown = true; // the list was posted before, urgently
              sweep(core);
            });
    loop.start();
    try {
      swept.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(PlatformConfig config) throws IOException {
    String host = config.listenAddress().getHostString();
    ListenRetry.listen(() -> clients.listen(network, host, config.listenAddress().getPort()));
    feed.follow(config.feed());
    diagnostics.invariants().beforeHealthy(listKnown, now());
    reportHealthy(true);
    log.line("router " + config.name() + " serves at " + host + ":" + clients.port());
  }

  /** The port that clients connect to. */
  int port() {
    return clients.port();
  }

  /** Goes on with the feed at another address. */
  void follow(InetSocketAddress address) {
    feed.follow(address);
  }

  private void eventReceived(EndpointListEvent event) {
    if (event.updates() == null) {
      return;
    }
    loop.postUrgent(core -> core.endpointListReceived(event.complete(), event.updates()));
  }

  private void sweep(RouterCore core) {
    clients.closeOverdueConnections(core.now());
    workers.sweep();
    core.schedule(core.now().plus(SWEEP_INTERVAL), () -> sweep(core));
  }

  private void tickFailed(Throwable error) {
    PlatformProcess.failed(log, "a tick failed", error);
  }

  /** Shuts down gracefully; blocks until all is closed. */
  void stop() throws InterruptedException {
    new GracefulShutdown(this, longestTimeout, log).run();
    close();
  }

  /** Time since the router's start. */
  Duration now() {
    return loop.now();
  }

  /** What heartbeats of clients are answered from now on. */
  void reportHealthy(boolean healthy) {
    clients.setHealthy(healthy);
  }

  /** What happened to requests and connections so far. */
  RouterEvents events() {
    return diagnostics.events();
  }

  /** Violated invariants so far, each a fault of this program. */
  long violations() {
    return diagnostics.invariants().violations();
  }

  /** Fails all requests that are pending. */
  void failPending() throws InterruptedException {
    runOnEventLoop(clients::failPendingRequests);
  }

  /**
   * Connections of clients as the selector knows them: the loop may not have seen some changes yet.
   */
  int openClientConnections() {
    return clients.openConnections();
  }

  /** What the router holds now, as its loop knows it. */
  ResourceUsage resourceUsage() throws InterruptedException {
    AtomicReference<ResourceUsage> usage = new AtomicReference<>();
    runOnEventLoop(
        core ->
            usage.set(
                new ResourceUsage(
                    clients.requestsInFlight(),
                    clients.trackedConnections(),
                    workers.connections(),
                    clients.activeConnections())));
    ResourceUsage found = usage.get();
    return found == null ? ResourceUsage.UNKNOWN : found;
  }

  /**
   * Runs an event on the loop, and waits for that, for a bounded time: nobody hangs behind a loop.
   */
  void runOnEventLoop(Consumer<RouterCore> event) throws InterruptedException {
    if (!postToEventLoop(event).await(MAX_LOOP_WAIT.toMillis(), TimeUnit.MILLISECONDS)) {
      log.line("the loop did not come to an event within " + MAX_LOOP_WAIT);
    }
  }

  /** Posts an event to the loop; the latch opens once it has run. */
  private CountDownLatch postToEventLoop(Consumer<RouterCore> event) {
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        core -> {
          event.accept(core);
          done.countDown();
        });
    return done;
  }

  /** Closes at once; requests that are pending get no response. */
  @Override
  public void close() {
    feed.close();
    clients.close();
    loop.stop();
    network.close();
  }
}
