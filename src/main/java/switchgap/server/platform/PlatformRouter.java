package switchgap.server.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import switchgap.endpoints.EndpointListEvent;
import switchgap.endpoints.EventStreamClient;
import switchgap.endpoints.EventStreamListener;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnector;
import switchgap.net.ListenRetry;
import switchgap.net.NetworkTransport;
import switchgap.protocol.resp.RespWorkerTransport;
import switchgap.protocol.thrift.ThriftServer;
import switchgap.router.EndpointEvent;
import switchgap.router.EndpointEvent.ListState;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvents;

/**
 * A running router on the platform, from its start to its shutdown. {@link PlatformAssembly}
 * creates its components. Methods may be called on any thread except the event loop.
 */
final class PlatformRouter implements EventStreamListener, AutoCloseable {
  private static final int MAX_EVENT_STREAM_BODY_BYTES = 1 << 16;
  private static final Duration EVENT_LOOP_TIMEOUT = Duration.ofSeconds(2);

  /** Short, because a shutdown has other work to do in time and tries again. */
  private static final Duration SELECTOR_THREAD_TIMEOUT = Duration.ofMillis(20);

  private final RateLimitedLog log;
  private final RouterDiagnostics diagnostics;
  private final NetworkTransport network;
  private final EventLoop eventLoop;
  private final RespWorkerTransport workerTransport;
  private final ThriftServer thriftServer;
  private final EventStreamClient eventStream;
  private final Duration longestTimeout;
  private final AtomicReference<ListState> endpointListState = new AtomicReference<>();
  private volatile boolean isEndpointListApplied;

  /**
   * Starts a router, which serves requests when the constructor returns.
   *
   * @throws IOException if the router cannot listen on its address
   */
  PlatformRouter(PlatformConfig config, RateLimitedLog log) throws IOException {
    this.log = log;
    PlatformAssembly assembly = new PlatformAssembly(config, log);
    diagnostics = assembly.diagnostics();
    network = assembly.network();
    eventLoop = assembly.eventLoop();
    workerTransport = assembly.workerTransport();
    thriftServer = assembly.thriftServer();
    longestTimeout = config.settings().longestTimeout();
    eventStream =
        new EventStreamClient(
            new HttpClientConnector(network, null, MAX_EVENT_STREAM_BODY_BYTES),
            config.lastSequence(),
            config.endpointNames(),
            this,
            log::line);
    startEventLoop(config);
    startServing(config);
  }

  // ------------------------------------------------------------------ startup

  /**
   * Starts the event loop and waits until the core has applied the configured endpoint list, so
   * that workers are available to the first request.
   */
  private void startEventLoop(PlatformConfig config) {
    config.knownEvents().forEach(this::eventReceived);
    CountDownLatch firstSweep =
        postToEventLoop(
            core -> {
              // Urgent events, such as those that apply the list, run before this one.
              isEndpointListApplied = true;
              sweep(core);
            });
    eventLoop.start();
    try {
      firstSweep.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startServing(PlatformConfig config) throws IOException {
    String host = config.listenAddress().getHostString();
    ListenRetry.listen(() -> thriftServer.listen(network, host, config.listenAddress().getPort()));
    eventStream.follow(config.eventStream());
    diagnostics.invariants().beforeHealthy(isEndpointListApplied, now());
    reportHealthy(true);
    log.line("router " + config.name() + " serves at " + host + ":" + thriftServer.port());
  }

  // ------------------------------------------------------------------ operation

  /** Follows the event stream at another address instead of the current one. */
  void follow(InetSocketAddress address) {
    eventStream.follow(address);
  }

  @Override
  public void eventReceived(EndpointListEvent event) {
    if (event.updates() == null) {
      return;
    }
    eventLoop.postUrgent(core -> core.endpointListReceived(event.complete(), event.updates()));
  }

  @Override
  public void listConfirmed(Duration validity) {
    Duration until = now().plus(validity);
    eventLoop.postUrgent(core -> core.endpointListConfirmedUntil(until));
    recordListState(ListState.CONFIRMED);
  }

  @Override
  public void listUnconfirmed() {
    eventLoop.postUrgent(core -> core.endpointListConfirmedUntil(Duration.ZERO));
    recordListState(ListState.UNCONFIRMED);
  }

  private void recordListState(ListState state) {
    if (endpointListState.getAndSet(state) != state) {
      diagnostics.events().record(new EndpointEvent.ListChanged(state));
    }
  }

  /** Whether the endpoint list is confirmed as current by its event stream. */
  boolean isEndpointListConfirmed() {
    return endpointListState.get() == ListState.CONFIRMED;
  }

  /** Closes connections and exchanges that are overdue, and schedules the next sweep. */
  private void sweep(RouterCore core) {
    thriftServer.closeOverdueConnections(core.now());
    workerTransport.sweep();
    core.schedule(core.now().plus(PlatformLimits.SWEEP_INTERVAL), () -> sweep(core));
  }

  /** Sets the health that replies to heartbeats report. */
  void reportHealthy(boolean healthy) {
    thriftServer.setHealthy(healthy);
  }

  /** Runs an event on the event loop and waits for its completion, for a bounded time. */
  void runOnEventLoop(Consumer<RouterCore> event) throws InterruptedException {
    if (!postToEventLoop(event).await(EVENT_LOOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
      log.line(
          "event loop did not respond within " + EVENT_LOOP_TIMEOUT + ", continuing without it");
    }
  }

  /** Posts an event to the event loop; the latch opens once it has run. */
  private CountDownLatch postToEventLoop(Consumer<RouterCore> event) {
    CountDownLatch done = new CountDownLatch(1);
    eventLoop.post(
        core -> {
          event.accept(core);
          done.countDown();
        });
    return done;
  }

  // ------------------------------------------------------------------ status

  /** The port that clients connect to. */
  int port() {
    return thriftServer.port();
  }

  /** Time since the router's start. */
  Duration now() {
    return eventLoop.now();
  }

  /** Counters of the events of requests and connections. */
  RouterEvents events() {
    return diagnostics.events();
  }

  /** Number of invariant violations so far, each a defect of this program. */
  long violations() {
    return diagnostics.invariants().violations();
  }

  /** Number of open client connections, including those that the event loop does not track yet. */
  int openClientConnections() {
    return thriftServer.openConnections();
  }

  /**
   * Current resource usage, or {@link ResourceUsage#UNKNOWN} if the event loop does not respond in
   * time.
   */
  ResourceUsage resourceUsage() throws InterruptedException {
    AtomicReference<ResourceUsage> usage = new AtomicReference<>(ResourceUsage.UNKNOWN);
    runOnEventLoop(
        core ->
            usage.set(
                new ResourceUsage(
                    thriftServer.requestsInFlight(),
                    thriftServer.trackedConnections(),
                    workerTransport.connectionCount(),
                    thriftServer.activeConnections())));
    return usage.get();
  }

  // ------------------------------------------------------------------ shutdown

  /** Shuts down gracefully; blocks until everything is closed. */
  void stop() throws InterruptedException {
    new GracefulShutdown(this, longestTimeout, log).run();
    close();
  }

  /**
   * Closes client connections that are idle and quiet, after reading the bytes that arrived on them
   * before this call.
   */
  void closeQuietConnections() throws InterruptedException {
    network.awaitPendingReads();
    runOnEventLoop(thriftServer::closeQuietConnections);
  }

  /**
   * Fails all pending requests, rejects all later ones, and closes each connection after the reply
   * that leaves it idle.
   */
  void failPendingRequests() throws InterruptedException {
    runOnEventLoop(thriftServer::failPendingRequests);
  }

  /**
   * Accepts the waiting clients and closes the listener; open connections stay open.
   *
   * @return whether the listener is closed; false if clients may still be waiting
   */
  boolean stopListening() {
    return thriftServer.stopAccepting(SELECTOR_THREAD_TIMEOUT);
  }

  /** Closes everything immediately; pending requests get no response. */
  @Override
  public void close() {
    eventStream.close();
    thriftServer.close();
    eventLoop.stop();
    network.close();
  }
}
