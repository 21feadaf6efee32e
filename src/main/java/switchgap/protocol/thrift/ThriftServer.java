package switchgap.protocol.thrift;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.CloseCause;
import switchgap.net.NetworkTransport;
import switchgap.net.StallDetector;
import switchgap.net.TcpConnection;
import switchgap.net.TcpServer;
import switchgap.policy.api.RouterSettings;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;

/**
 * Listens for clients. Selector threads read and decode messages ({@link ClientMessageReader}); the
 * state of connections and requests belongs to the router's event loop, where messages are handled
 * in order ({@link RequestHandler}). Whatever a client can make grow is bounded.
 */
public final class ThriftServer implements TcpConnection.Listener, AutoCloseable {
  /** Connections that wait to be accepted. */
  private static final int ACCEPT_BACKLOG = 512;

  /** Between evictions, while there are too many connections. */
  private static final Duration EVICTION_INTERVAL = Duration.ofMillis(10);

  private final ClientConnectionLimits limits;
  private final Supplier<Duration> clock;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private final RouterDiagnostics diagnostics;
  private final AcceptThrottle acceptThrottle;
  private final ClientConnectionTable connections;
  private final RequestHandler requests;
  private final ClientMessageReader messages;
  private final StallDetector stallDetector;

  /** Whether the next eviction is scheduled; event loop only. */
  private boolean evictionScheduled;

  private volatile TcpServer listener;

  /**
   * A server that does not listen yet.
   *
   * @param settings the router's settings
   * @param requestClasses index of each request class by its name
   * @param tenants index of each tenant by its name; empty if requests have no tenant
   * @param limits bounds on what clients may take
   * @param clock time since the router's start
   * @param eventLoop runs an event on the router's event loop
   * @param diagnostics records requests, answers and connections
   */
  public ThriftServer(
      RouterSettings settings,
      Map<String, Integer> requestClasses,
      Map<String, Integer> tenants,
      ClientConnectionLimits limits,
      Supplier<Duration> clock,
      Consumer<Consumer<RouterCore>> eventLoop,
      RouterDiagnostics diagnostics) {
    this.limits = limits;
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.diagnostics = diagnostics;
    acceptThrottle = new AcceptThrottle(limits.maxConnections() + limits.maxExcessConnections());
    connections = new ClientConnectionTable(limits.maxConnections(), limits.receiveTimeout());
    NameDirectory names = new NameDirectory(settings, requestClasses, tenants);
    requests = new RequestHandler(names, limits, connections, diagnostics);
    messages = new ClientMessageReader(requests, eventLoop, limits.maxRequestBytes());
    stallDetector = new StallDetector(limits.sweepInterval(), clock.get());
  }

  /**
   * Starts to listen.
   *
   * @param port 0 for any free port
   */
  public void listen(NetworkTransport net, String host, int port) throws IOException {
    listener = TcpServer.listen(net, host, port, ACCEPT_BACKLOG, this);
    acceptThrottle.listenerOpened(listener);
  }

  /** The port that it listens on. */
  public int port() {
    return listener.port();
  }

  /** What heartbeats are answered from now on. Any thread. */
  public void setHealthy(boolean healthy) {
    messages.setHealthy(healthy);
  }

  /** Accepts no further connection; open ones stay. */
  @Override
  public void close() {
    listener.close();
  }

  /** Open connections, including those that the event loop does not track yet. Any thread. */
  public int openConnections() {
    return acceptThrottle.openConnections();
  }

  // ------------------------------------------------------------------ on a selector thread

  @Override
  public void opened(TcpConnection tcp) {
    ClientConnection connection = new ClientConnection(tcp, clock, limits.maxUnsentBytes());
    tcp.attach(connection);
    diagnostics.events().record(new RouterEvent.ClientConnected(tcp.id()));
    acceptThrottle.connectionOpened();
    eventLoop.accept(
        core -> {
          connections.add(connection);
          scheduleEviction(core);
        });
  }

  @Override
  public void received(TcpConnection tcp, ByteBuffer bytes) {
    ClientConnection connection = connectionOf(tcp);
    Duration receiveDelay = tcp.maxReceiveDelay();
    Duration receivedAt = connection.boundReceivedAt(clock.get().minus(receiveDelay), receiveDelay);
    Consumer<byte[]> frameHandler = frame -> messages.frameReceived(connection, frame, receivedAt);
    if (!connection.receive(bytes, frameHandler, receivedAt)) {
      connection.close(ClientCloseReason.FRAME_OUT_OF_BOUNDS);
    }
  }

  @Override
  public void closed(TcpConnection tcp, CloseCause cause) {
    acceptThrottle.connectionClosed();
    ClientConnection connection = connectionOf(tcp);
    connection.closed();
    ClientCloseReason reason = ClientCloseReason.of(cause.reason());
    eventLoop.accept(core -> requests.connectionClosed(core, connection, reason));
  }

  private static ClientConnection connectionOf(TcpConnection tcp) {
    return (ClientConnection) tcp.attachment();
  }

  // ------------------------------------------------------------------ on the event loop

  /** Evicts connections at an interval while there are too many, as one pass serves many. */
  private void scheduleEviction(RouterCore core) {
    if (evictionScheduled || connections.size() <= limits.maxConnections()) {
      return;
    }
    evictionScheduled = true;
    core.schedule(
        core.now().plus(EVICTION_INTERVAL),
        () -> {
          evictionScheduled = false;
          connections.evictExcess(core.now());
          scheduleEviction(core);
        });
  }

  /**
   * Connections with a request in flight, queued or partial, or with an unwritten reply. Includes
   * connections that the event loop does not track yet; clients that could not be accepted count as
   * one.
   */
  public int activeConnections() {
    int untracked = Math.max(0, acceptThrottle.openConnections() - connections.size());
    int unaccepted = listener.isAcceptStalled() ? 1 : 0;
    return untracked + connections.activeCount() + unaccepted;
  }

  /** Whether clients may be waiting to be accepted, as accepts are or just were stalled. */
  public boolean isAcceptStalled() {
    return listener.isAcceptStalled();
  }

  /** Connections that the event loop tracks. */
  public int trackedConnections() {
    return connections.size();
  }

  /** Requests without their response. */
  public int requestsInFlight() {
    return requests.requestsInFlight();
  }

  /** Closes connections without a request in flight that have been quiet for a while. */
  public void closeQuietConnections(RouterCore core) {
    connections.closeQuiet(core.now());
  }

  /**
   * Fails all requests in flight, as the process cannot wait for any of them, rejects all that come
   * from now on, and closes each connection with its next answer.
   */
  public void failPendingRequests(RouterCore core) {
    requests.failAll(core);
  }

  /**
   * Closes connections whose message is overdue; to be called at the sweep interval of the limits.
   */
  public void closeOverdueConnections(Duration now) {
    connections.stallEnded(now, stallDetector.recordCheck(now));
    connections.closeOverdue(now);
  }
}
