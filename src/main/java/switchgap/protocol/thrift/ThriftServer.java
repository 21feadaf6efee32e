package switchgap.protocol.thrift;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
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
 * Listens for clients. Selector threads read and decode messages and answer heartbeats; what is
 * known of connections and requests belongs to the router's event loop, where messages are handled
 * in order. Whatever a client can make grow is bounded.
 */
public final class ThriftServer implements TcpConnection.Listener, AutoCloseable {
  /** Messages of one connection that wait for the event loop. */
  private static final int MAX_QUEUED_MESSAGES = 256;

  /** Connections that wait to be accepted. */
  private static final int ACCEPT_BACKLOG = 512;

  /** Between looks for connections that may be evicted, while there are too many. */
  private static final Duration EVICTION_INTERVAL = Duration.ofMillis(10);

  private final ClientConnectionLimits limits;
  private final Supplier<Duration> clock;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private final ClientConnectionTable connections;
  private final RequestHandler requests;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger queuedBytes = new AtomicInteger();
  private final Object acceptLock = new Object();

  /** Guarded by the lock, as connections open and close on several threads. */
  private boolean acceptPaused;

  /** Whether a further look for connections to evict is scheduled; event loop only. */
  private boolean evictionScheduled;

  private volatile boolean isHealthy;
  private final RouterDiagnostics diagnostics;
  private final StallDetector stallDetector;
  private volatile TcpServer listener;

  /**
   * A server that does not listen yet.
   *
   * @param settings the router's settings
   * @param requestClasses index of each request class by its name
   * @param tenants index of each tenant by its name; empty where requests have no tenant
   * @param limits bounds of what clients may take
   * @param clock time since the router's start
   * @param eventLoop runs an event on the router's event loop
   * @param diagnostics hears of requests, answers and connections
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
    stallDetector = new StallDetector(limits.sweepInterval(), clock.get());
    connections = new ClientConnectionTable(limits.maxConnections(), limits.receiveTimeout());
    requests =
        new RequestHandler(
            new NameDirectory(settings, requestClasses, tenants), limits, connections, diagnostics);
  }

  /** Listens; port 0 takes any. */
  public void listen(NetworkTransport net, String host, int port) throws IOException {
    listener = TcpServer.listen(net, host, port, ACCEPT_BACKLOG, this);
  }

  /** The port it listens at. */
  public int port() {
    return listener.port();
  }

  /** What heartbeats are answered from now on; any thread. */
  public void setHealthy(boolean healthy) {
    isHealthy = healthy;
  }

  /** Accepts no further connection; those that are open stay. */
  @Override
  public void close() {
    listener.close();
  }

  // ------------------------------------------------------------------ on a selector thread

  @Override
  public void opened(TcpConnection tcp) {
    ClientConnection connection = new ClientConnection(tcp, clock, limits.maxUnsentBytes());
    tcp.attach(connection);
    openConnections.incrementAndGet();
    diagnostics.events().record(new RouterEvent.ClientConnected(tcp.id()));
    updateAccepting();
    eventLoop.accept(
        core -> {
          connections.add(connection);
          scheduleEviction(core);
        });
  }

  @Override
  public void received(TcpConnection tcp, ByteBuffer bytes) {
    ClientConnection connection = connectionOf(tcp);
    Duration now = clock.get().minus(tcp.maxReceiveDelay());
    if (!connection.receive(bytes, frame -> frameReceived(connection, frame, now), now)) {
      connection.close(ClientCloseReason.FRAME_OUT_OF_BOUNDS);
    }
  }

  @Override
  public void closed(TcpConnection tcp, CloseCause cause) {
    openConnections.decrementAndGet();
    updateAccepting();
    ClientConnection connection = connectionOf(tcp);
    connection.closed();
    eventLoop.accept(
        core -> requests.connectionClosed(core, connection, ClientCloseReason.of(cause.reason())));
  }

  /**
   * Accepts while there is room. A client past the bound waits in the system's backlog: a
   * connection that is accepted and closed again may hold a request already.
   */
  private void updateAccepting() {
    synchronized (acceptLock) {
      boolean hasRoom =
          openConnections.get() < limits.maxConnections() + limits.maxExcessConnections();
      if (hasRoom == acceptPaused && listener != null) {
        acceptPaused = !hasRoom;
        if (hasRoom) {
          listener.resume();
        } else {
          listener.pause();
        }
      }
    }
  }

  private static ClientConnection connectionOf(TcpConnection tcp) {
    return (ClientConnection) tcp.attachment();
  }

  private void frameReceived(ClientConnection connection, byte[] frame, Duration now) {
    if (!connection.isOpen()) {
      return; // closed by an earlier frame of the same read
    }
    connection.messageReceived();
    try {
      messageReceived(connection, ThriftMessageDecoder.decode(frame), frame.length, now);
    } catch (MalformedMessageException e) {
      if (e.method() != null) {
        connection.sendLast(
            ThriftResponseEncoder.protocolError(e.method(), e.sequenceId(), e.getMessage()));
      }
      connection.close(ClientCloseReason.UNREADABLE_MESSAGE);
    }
  }

  private void messageReceived(
      ClientConnection connection, ThriftMessage message, int messageBytes, Duration now) {
    if (!message.type().isRequest()) {
      connection.close(ClientCloseReason.REPLY_FROM_CLIENT);
      return;
    }
    String method = message.method();
    switch (method) {
      case WireNames.HEARTBEAT ->
          connection.send(ThriftResponseEncoder.heartbeat(method, message.sequenceId(), isHealthy));
      case WireNames.SUBMIT, WireNames.REVOKE -> enqueue(connection, message, messageBytes, now);
      default -> connection.send(ThriftResponseEncoder.unknownMethod(method, message.sequenceId()));
    }
  }

  private void enqueue(
      ClientConnection connection, ThriftMessage message, int messageBytes, Duration now) {
    boolean isRevoke = message.method().equals(WireNames.REVOKE);
    boolean fits = connection.messageQueued() <= MAX_QUEUED_MESSAGES && !connection.isEvicting();
    if (!fits && isRevoke) {
      connection.close(ClientCloseReason.QUEUE_OVERFLOW); // it has no reply that could refuse it
      return;
    }
    // a revoke is small, and bounded by the messages of its connection
    if (!fits || (!isRevoke && !reserveQueuedBytes(messageBytes))) {
      connection.messageDequeued();
      requests.refuseUnseen(connection, message.sequenceId());
      return;
    }
    if (isRevoke) {
      connection.revokeReceived(message.firstInteger(), now);
    }
    eventLoop.accept(
        core -> {
          connection.messageDequeued();
          queuedBytes.addAndGet(isRevoke ? 0 : -messageBytes);
          requests.messageReceived(core, connection, message, now);
        });
  }

  /**
   * Takes a message's bytes out of the queue's budget; a message that does not fit takes nothing.
   */
  private boolean reserveQueuedBytes(int messageBytes) {
    if (queuedBytes.addAndGet(messageBytes) <= limits.maxRequestBytes()) {
      return true;
    }
    queuedBytes.addAndGet(
        -messageBytes); // or each flood would leave less for everybody, until a restart
    return false;
  }

  // ------------------------------------------------------------------ on the event loop

  /**
   * While there are too many connections, evicts what may go each interval: one look serves many.
   */
  private void scheduleEviction(RouterCore core) {
    if (!evictionScheduled && connections.size() > limits.maxConnections()) {
      evictionScheduled = true;
      core.schedule(
          core.now().plus(EVICTION_INTERVAL),
          () -> {
            evictionScheduled = false;
            connections.evictExcess(core.now());
            scheduleEviction(core);
          });
    }
  }

  /**
   * Connections on which anything is under way: a request, a message in part or queued, a reply
   * that is not written; those that the event loop has not heard of yet count too, and clients that
   * could not be accepted as one.
   */
  public int activeConnections() {
    int unaccepted = listener.isAcceptStalled() ? 1 : 0;
    return Math.max(0, openConnections.get() - connections.size())
        + connections.activeCount()
        + unaccepted;
  }

  /** Fails all requests in flight, as none of them can be waited for any more. */
  public void failPendingRequests(RouterCore core) {
    requests.failAll(core);
  }

  /** Requests in flight. */
  public int requestsInFlight() {
    return requests.requestsInFlight();
  }

  /** Connections that the event loop knows. */
  public int trackedConnections() {
    return connections.size();
  }

  /** Connections that the selector threads know; any thread. */
  public int openConnections() {
    return openConnections.get();
  }

  /**
   * Closes connections that take too long for a message; to be called at the interval of the
   * limits.
   */
  public void closeOverdueConnections(Duration now) {
    connections.pauseEnded(now, stallDetector.recordCheck(now));
    connections.closeOverdue(now);
  }
}
