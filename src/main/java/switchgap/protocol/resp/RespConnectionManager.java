package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.ConnectFailure;
import switchgap.net.Connector;
import switchgap.net.NetworkTransport;
import switchgap.net.TcpConnection;
import switchgap.net.TcpConnector;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.WorkerEntry;

/**
 * Manages the connection pools of all workers and limits their total number of connections. All
 * methods must be called on the event loop, except for {@link #nowNanos} and {@link #post}, which
 * any thread may call.
 */
final class RespConnectionManager {
  private static final int MIN_CONNECTIONS_PER_WORKER = 2;

  /** Maximum length of each string in a reply. The longest string is the body. */
  private static final int MAX_STRING_BYTES = 16 << 10;

  private final RespConnectionLimits limits;
  private final Supplier<Duration> clock;
  private final Consumer<Consumer<RouterCore>> events;
  private final TcpConnector connector;
  private final RouterDiagnostics diagnostics;
  private final Set<RespConnectionPool> pools = new HashSet<>();

  /** The open connections of all pools, the least recently used one first. */
  private final Set<RespConnection> connectionsByLastUse = new LinkedHashSet<>();

  /** The number of connections that are open or being opened. */
  private int connectionCount;

  /**
   * Creates a manager without connections.
   *
   * @param clock the router's clock
   * @param events posts events to the router's event loop
   * @param diagnostics checks the invariants of attempts and load commands that are sent, and
   *     records each attempt sent and each connection closed
   */
  RespConnectionManager(
      NetworkTransport net,
      RespConnectionLimits limits,
      Supplier<Duration> clock,
      Consumer<Consumer<RouterCore>> events,
      RouterDiagnostics diagnostics) {
    this.limits = limits;
    this.clock = clock;
    this.events = events;
    this.diagnostics = diagnostics;
    this.connector = new TcpConnector(net, new ReplyReader(events, diagnostics.events()));
  }

  /** The diagnostics that check what is sent, and record attempts and closed connections. */
  RouterDiagnostics diagnostics() {
    return diagnostics;
  }

  /** The current time of the router's clock, in nanoseconds. */
  long nowNanos() {
    return clock.get().toNanos();
  }

  /** Posts an event to the event loop. The event never runs before this method returns. */
  void post(Consumer<RouterCore> event) {
    events.accept(event);
  }

  /** Returns the pool of a worker. Creates the pool if it does not exist. */
  RespConnectionPool poolFor(WorkerEntry worker) {
    if (worker.attachment() == null) {
      RespConnectionPool pool = new RespConnectionPool(this, worker, limits);
      worker.attach(pool);
      pools.add(pool);
    }
    return (RespConnectionPool) worker.attachment();
  }

  /**
   * The maximum number of connections to one worker: an equal share of the total limit, but at
   * least {@link #MIN_CONNECTIONS_PER_WORKER}, and at most the configured limit per worker.
   */
  int maxConnectionsPerWorker() {
    int share = limits.maxConnections() / Math.max(1, pools.size());
    return Math.max(MIN_CONNECTIONS_PER_WORKER, Math.min(limits.maxConnectionsPerWorker(), share));
  }

  /**
   * Returns whether one more connection may be opened. At the limit it evicts the least recently
   * used idle connection, so it must be called only immediately before a connection is opened.
   */
  boolean ensureCapacity() {
    if (connectionCount < limits.maxConnections()) {
      return true;
    }
    for (RespConnection connection : connectionsByLastUse) {
      if (connection.isIdle() && connection.isOpen()) {
        connection.close(WorkerCloseReason.EVICTED);
        return true;
      }
    }
    return false;
  }

  /** Starts to open a connection for a pool. The pool is notified of the outcome by an event. */
  void connect(RespConnectionPool pool, InetSocketAddress address) {
    connectionCount++;
    connector.connect(
        address,
        limits.connectTimeout(),
        new Connector.ConnectCallback<>() {
          @Override
          public void connected(TcpConnection tcp) {
            RespDecoder decoder = new RespDecoder(MAX_STRING_BYTES);
            RespConnection connection = new RespConnection(tcp, pool, decoder, nowNanos());
            tcp.attach(connection);
            post(core -> pool.connectionOpened(core, connection));
          }

          @Override
          public void failed(ConnectFailure failure) {
            post(pool::connectFailed);
          }
        });
  }

  /** Adds a connection that was opened for a pool. */
  void connectionOpened(RespConnection connection) {
    connectionsByLastUse.add(connection);
  }

  /** Records that an exchange was sent or completed on a connection. */
  void connectionUsed(RespConnection connection) {
    if (connectionsByLastUse.remove(connection)) {
      connectionsByLastUse.add(connection);
    }
  }

  /** Removes a connection that was opened for a pool and is closed. */
  void connectionClosed(RespConnection connection) {
    connectionsByLastUse.remove(connection);
    connectionEnded();
  }

  /** Updates the count after a connection was closed or could not be opened. */
  void connectionEnded() {
    connectionCount--;
  }

  /**
   * Closes connections that exceed the idle timeout, and removes the pools of workers that have
   * left the endpoint list.
   */
  void sweep() {
    long idleNanos = limits.idleTimeout().toNanos();
    pools.removeIf(
        pool -> {
          pool.closeIdleFor(idleNanos);
          return pool.isDisposable();
        });
  }

  /** The number of connections that are open or being opened. */
  int connectionCount() {
    return connectionCount;
  }
}
