package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
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
 * The connection pools of all workers, and the number of connections that they share. All methods
 * belong to the event loop, except for {@link #nowNanos} and {@link #post}, which any thread may
 * call.
 */
final class RespConnectionManager {
  private static final int MIN_CONNECTIONS_PER_WORKER = 2;

  /** Bytes of the longest string that a reply may hold, which is its body. */
  private static final int MAX_STRING_BYTES = 16 << 10;

  private final RespConnectionLimits limits;
  private final Supplier<Duration> clock;
  private final Consumer<Consumer<RouterCore>> events;
  private final TcpConnector connectionFactory;
  private final RouterDiagnostics diagnostics;
  private final Set<RespConnectionPool> pools = new HashSet<>();

  /** The number of connections that are open or being opened. */
  private int connectionCount;

  /**
   * Creates a manager without connections.
   *
   * @param clock the router's clock
   * @param events posts to the router's event loop
   * @param diagnostics is notified of each command sent and each connection closed
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
    this.connectionFactory = new TcpConnector(net, new ReplyReader(events, diagnostics.events()));
  }

  /** Is notified of each command sent. */
  RouterDiagnostics diagnostics() {
    return diagnostics;
  }

  /** Nanoseconds of the router's clock. */
  long nowNanos() {
    return clock.get().toNanos();
  }

  /** Posts an event to the event loop, which never runs it before this returns. */
  void post(Consumer<RouterCore> event) {
    events.accept(event);
  }

  /** Returns the pool of a worker, which is created where there is none yet. */
  RespConnectionPool poolFor(WorkerEntry worker) {
    if (worker.attachment() == null) {
      RespConnectionPool pool = new RespConnectionPool(this, worker, limits);
      worker.attach(pool);
      pools.add(pool);
    }
    return (RespConnectionPool) worker.attachment();
  }

  /** The bound of connections to one worker, so that all workers together keep within the limit. */
  int maxConnectionsPerWorker() {
    int share = limits.maxConnections() / Math.max(1, pools.size());
    return Math.max(MIN_CONNECTIONS_PER_WORKER, Math.min(limits.maxConnectionsPerWorker(), share));
  }

  /**
   * Returns whether one more connection may be opened. At the limit it evicts the idle connection
   * that was least recently used, so it must be called only when the connection is opened next.
   */
  boolean ensureCapacity() {
    if (connectionCount < limits.maxConnections()) {
      return true;
    }
    RespConnection evicted = null;
    for (RespConnectionPool pool : pools) {
      evicted = pool.leastRecentlyUsed(evicted);
    }
    if (evicted == null) {
      return false;
    }
    evicted.close(WorkerCloseReason.EVICTED);
    return true;
  }

  /** Begins to open a connection for a pool, which is notified by an event how that ended. */
  void connect(RespConnectionPool pool, InetSocketAddress address) {
    connectionCount++;
    connectionFactory.connect(
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

  /** A connection was closed, or could not be opened. */
  void connectionEnded() {
    connectionCount--;
  }

  /** Closes connections past the idle timeout, and forgets the pools of workers that are gone. */
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
