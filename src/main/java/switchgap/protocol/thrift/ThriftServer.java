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
 * Server for Thrift clients. Selector threads read and decode messages ({@link
 * ClientMessageReader}); the state of connections and requests belongs to the router's event loop,
 * which handles messages in order ({@link RequestHandler}). All memory and connections that clients
 * can use are bounded.
 */
public final class ThriftServer implements TcpConnection.Listener, AutoCloseable {
  /** Maximum number of connections that wait in the kernel to be accepted. */
  private static final int ACCEPT_BACKLOG = 512;

  /** Maximum bytes of one read; the frames in it may be queued past the connection's share. */
  static final int MAX_READ_BYTES = 4 << 10;

  /** The limit on unread replies divided by this is the maximum heap of one connection. */
  private static final int UNREAD_REPLY_LIMIT_DIVISOR = 2;

  /** Interval between evictions while there are too many connections. */
  private static final Duration EVICTION_INTERVAL = Duration.ofMillis(10);

  private final ClientConnectionLimits limits;
  private final Supplier<Duration> clock;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private final RouterDiagnostics diagnostics;
  private final AcceptThrottle acceptThrottle;
  private final ClientConnectionTable connections;
  private final RequestHandler requestHandler;
  private final ClientMessageReader messageReader;
  private final StallDetector stallDetector;

  /** Heap of the queued messages and unsent replies of all connections. */
  private final SharedCapacity heap;

  /** Whether the next eviction is scheduled. Event loop only. */
  private boolean isEvictionScheduled;

  private volatile TcpServer listener;

  /**
   * Creates a server that does not listen yet.
   *
   * @param settings the router's settings
   * @param requestClasses index of each request class by its name
   * @param tenants index of each tenant by its name; empty if requests have no tenant
   * @param limits limits on the resources that clients may use
   * @param clock returns the time since the router's start
   * @param eventLoop posts an event to the router's event loop
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
    requestHandler = new RequestHandler(names, limits, connections, diagnostics);
    messageReader =
        new ClientMessageReader(
            requestHandler, new ClientMessageScheduler(requestHandler, eventLoop));
    // Reading pauses before the unread replies to what was read could reach their limit.
    heap =
        new SharedCapacity(
            limits.maxRequestBytes(), limits.maxUnsentBytes() / UNREAD_REPLY_LIMIT_DIVISOR);
    stallDetector = new StallDetector(limits.sweepInterval(), clock.get());
  }

  /**
   * Starts listening for clients.
   *
   * @param port the port, or 0 for any free port
   */
  public void listen(NetworkTransport net, String host, int port) throws IOException {
    listener = TcpServer.listen(net, host, port, ACCEPT_BACKLOG, MAX_READ_BYTES, this);
    acceptThrottle.listenerOpened(listener);
  }

  /** The port that the server listens on. */
  public int port() {
    return listener.port();
  }

  /** Sets the health that replies to heartbeats report. Callable on any thread. */
  public void setHealthy(boolean healthy) {
    messageReader.setHealthy(healthy);
  }

  /**
   * Accepts the waiting clients, then stops accepting; see {@link TcpServer#stopAccepting}. Open
   * connections stay open.
   *
   * @return whether accepting has stopped; false if clients may still be waiting
   */
  public boolean stopAccepting(Duration timeout) {
    return listener.stopAccepting(timeout);
  }

  /** Stops accepting connections at once; open connections stay open. */
  @Override
  public void close() {
    listener.close();
  }

  /**
   * Number of open connections, including those that the event loop does not track yet. Callable on
   * any thread.
   */
  public int openConnections() {
    return acceptThrottle.openConnections();
  }

  // ------------------------------------------------------------------ selector threads only

  @Override
  public void opened(TcpConnection tcp) {
    ClientConnection connection =
        new ClientConnection(tcp, clock, limits.maxUnsentBytes(), heap.newShare());
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
    boolean isReadEmpty = bytes.remaining() < MAX_READ_BYTES;
    Duration readAt = clock.get().minus(receiveDelay);
    Duration receivedAt = connection.earliestReceivedAt(readAt, receiveDelay, isReadEmpty);
    Consumer<byte[]> frameHandler =
        frame -> messageReader.frameReceived(connection, frame, receivedAt);
    boolean isWithinBounds = connection.receive(bytes, frameHandler, readAt);
    connection.sendBatchedReplies();
    if (!isWithinBounds) {
      connection.close(ClientCloseReason.FRAME_OUT_OF_BOUNDS);
    }
    if (connection.flowControl().pauseIfShareExceeded()) {
      diagnostics.events().record(new RouterEvent.ClientReadingPaused(tcp.id()));
    }
  }

  @Override
  public void written(TcpConnection tcp, int byteCount) {
    connectionOf(tcp).replyWritten(byteCount);
  }

  @Override
  public void closed(TcpConnection tcp, CloseCause cause) {
    acceptThrottle.connectionClosed();
    ClientConnection connection = connectionOf(tcp);
    connection.connectionClosed();
    ClientCloseReason reason = ClientCloseReason.of(cause.reason());
    eventLoop.accept(core -> requestHandler.connectionClosed(core, connection, reason));
  }

  private static ClientConnection connectionOf(TcpConnection tcp) {
    return (ClientConnection) tcp.attachment();
  }

  /** Heap in bytes that queued messages and unsent replies hold. Callable on any thread. */
  public long queuedHeapBytes() {
    return heap.used();
  }

  // ------------------------------------------------------------------ event loop only

  /**
   * Schedules the next eviction pass if there are too many connections. Passes run at an interval,
   * not for each new connection, as one pass can evict many.
   */
  private void scheduleEviction(RouterCore core) {
    if (isEvictionScheduled || connections.size() <= limits.maxConnections()) {
      return;
    }
    isEvictionScheduled = true;
    core.schedule(
        core.now().plus(EVICTION_INTERVAL),
        () -> {
          isEvictionScheduled = false;
          connections.evictExcess(core.now());
          scheduleEviction(core);
        });
  }

  /**
   * Number of connections with a request in flight, queued or partially received, or with an unsent
   * reply. Includes connections that the event loop does not track yet, and one more if accepts are
   * stalled.
   */
  public int activeConnections() {
    int untracked = Math.max(0, acceptThrottle.openConnections() - connections.size());
    int unaccepted = listener.isAcceptStalled() ? 1 : 0;
    return untracked + connections.activeCount() + unaccepted;
  }

  /** Number of connections that the event loop tracks. */
  public int trackedConnections() {
    return connections.size();
  }

  /** Number of requests that have no response yet. */
  public int requestsInFlight() {
    return requestHandler.requestsInFlight();
  }

  /**
   * Closes the connections that are idle and on which nothing has been received or sent recently.
   */
  public void closeQuietConnections(RouterCore core) {
    connections.closeQuiet(core.now());
  }

  /**
   * Fails all requests in flight, as the process is about to be killed, rejects all later ones, and
   * closes each connection after the reply that leaves it idle.
   */
  public void failPendingRequests(RouterCore core) {
    requestHandler.failAll(core);
  }

  /**
   * Closes the connections on which a message is overdue. To be called at the sweep interval of the
   * limits.
   */
  public void closeOverdueConnections(Duration now) {
    connections.stallEnded(now, stallDetector.recordCheck(now));
    connections.closeOverdue(now);
  }
}
