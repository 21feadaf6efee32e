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
 * A running router on the platform, from its start to its shutdown; {@link PlatformAssembly} puts
 * its parts together. Its methods are for any thread but the event loop's.
 */
final class PlatformRouter implements EventStreamListener, AutoCloseable {
  private static final int MAX_EVENT_STREAM_BODY_BYTES = 1 << 16;
  private static final Duration EVENT_LOOP_TIMEOUT = Duration.ofSeconds(2);

  private final RateLimitedLog log;
  private final RouterDiagnostics diagnostics;
  private final NetworkTransport network;
  private final EventLoop eventLoop;
  private final RespWorkerTransport workers;
  private final ThriftServer clients;
  private final EventStreamClient eventStream;
  private final Duration longestTimeout;
  private final AtomicReference<ListState> endpointListState = new AtomicReference<>();
  private volatile boolean isEndpointListKnown;

  /**
   * Starts a router; it serves once this returns.
   *
   * @throws IOException if it can't listen on its address
   */
  PlatformRouter(PlatformConfig config, RateLimitedLog log) throws IOException {
    this.log = log;
    PlatformAssembly assembly = new PlatformAssembly(config, log);
    diagnostics = assembly.diagnostics();
    network = assembly.network();
    eventLoop = assembly.eventLoop();
    workers = assembly.workers();
    clients = assembly.clients();
    longestTimeout = config.settings().longestTimeout();
    eventStream =
        new EventStreamClient(
            new HttpClientConnector(network, null, MAX_EVENT_STREAM_BODY_BYTES),
            config.lastSequence(),
            config.endpointNames(),
            this,
            log::line);
    startEventLoop(config);
    serve(config);
  }

  // ------------------------------------------------------------------ start

  /**
   * Starts the event loop and waits until the core has the configured endpoint list: the first
   * request must find its workers.
   */
  private void startEventLoop(PlatformConfig config) {
    config.knownEvents().forEach(this::eventReceived);
    CountDownLatch firstSweep =
        postToEventLoop(
            core -> {
              isEndpointListKnown = true; // posted as urgent events, it was handled before this
              sweep(core);
            });
    eventLoop.start();
    try {
      firstSweep.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(PlatformConfig config) throws IOException {
    String host = config.listenAddress().getHostString();
    ListenRetry.listen(() -> clients.listen(network, host, config.listenAddress().getPort()));
    eventStream.follow(config.eventStream());
    diagnostics.invariants().beforeHealthy(isEndpointListKnown, now());
    reportHealthy(true);
    log.line("router " + config.name() + " serves at " + host + ":" + clients.port());
  }

  // ------------------------------------------------------------------ while it runs

  /** Follows the event stream at another address. */
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

  /** Whether the endpoint list is confirmed: its event stream delivers. */
  boolean isEndpointListConfirmed() {
    return endpointListState.get() == ListState.CONFIRMED;
  }

  /** Closes what is overdue, and schedules the next sweep. */
  private void sweep(RouterCore core) {
    clients.closeOverdueConnections(core.now());
    workers.sweep();
    core.schedule(core.now().plus(PlatformLimits.SWEEP_INTERVAL), () -> sweep(core));
  }

  /** What clients' heartbeats are answered from now on. */
  void reportHealthy(boolean healthy) {
    clients.setHealthy(healthy);
  }

  /** Runs an event on the event loop and waits for that, for a bounded time. */
  void runOnEventLoop(Consumer<RouterCore> event) throws InterruptedException {
    if (!postToEventLoop(event).await(EVENT_LOOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
      log.line("the event loop did not run an event within " + EVENT_LOOP_TIMEOUT);
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

  // ------------------------------------------------------------------ what it reports

  /** The port that clients connect to. */
  int port() {
    return clients.port();
  }

  /** Time since the router's start. */
  Duration now() {
    return eventLoop.now();
  }

  /** What happened to requests and connections so far. */
  RouterEvents events() {
    return diagnostics.events();
  }

  /** Violated invariants so far, each a fault of this program. */
  long violations() {
    return diagnostics.invariants().violations();
  }

  /** Open connections of clients, including those that the event loop does not track yet. */
  int openClientConnections() {
    return clients.openConnections();
  }

  /** What the event loop holds now, or {@link ResourceUsage#UNKNOWN} if it does not say in time. */
  ResourceUsage resourceUsage() throws InterruptedException {
    AtomicReference<ResourceUsage> usage = new AtomicReference<>(ResourceUsage.UNKNOWN);
    runOnEventLoop(
        core ->
            usage.set(
                new ResourceUsage(
                    clients.requestsInFlight(),
                    clients.trackedConnections(),
                    workers.connections(),
                    clients.activeConnections())));
    return usage.get();
  }

  // ------------------------------------------------------------------ end

  /** Shuts down gracefully; blocks until everything is closed. */
  void stop() throws InterruptedException {
    new GracefulShutdown(this, longestTimeout, log).run();
    close();
  }

  /**
   * Closes clients' connections that are idle and quiet; what came on them before this call is read
   * first.
   */
  void closeQuietConnections() throws InterruptedException {
    network.awaitPendingReads();
    runOnEventLoop(clients::closeQuietConnections);
  }

  /** Whether clients may be waiting to be accepted. */
  boolean isAcceptStalled() {
    return clients.isAcceptStalled();
  }

  /**
   * Fails all pending requests, rejects all that come from now on, and closes each connection with
   * its next answer.
   */
  void failPendingRequests() throws InterruptedException {
    runOnEventLoop(clients::failPendingRequests);
  }

  /** Accepts no further connection. */
  void stopListening() {
    clients.close();
  }

  /** Closes at once; pending requests get no response. */
  @Override
  public void close() {
    eventStream.close();
    clients.close();
    eventLoop.stop();
    network.close();
  }
}
