package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.Connector;
import switchgap.net.NetworkTransport;
import switchgap.net.TcpConnection;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.WorkerEntry;

/**
 * The connection pools of all workers, and the number of connections that they share. All methods
 * belong to the event loop, but for {@link #nowNanos} and {@link #post}, which any thread may call.
 */
final class RespConnectionManager {
  private static final int MIN_CONNECTIONS_PER_WORKER = 2;

  /** The longest string of a reply, which is its body. */
  private static final int MAX_STRING_BYTES = 16 << 10;

  private final RespConnectionLimits limits;
  private final Supplier<Duration> clock;
  private final Consumer<Consumer<RouterCore>> events;
  private final TcpConnection.Factory connectionFactory;
  private final RouterDiagnostics diagnostics;
  private final Set<RespConnectionPool> pools = new HashSet<>();

  /** Connections that are open or being opened. */
  private int connectionCount;

  /**
   * A manager without connections.
   *
   * @param clock the router's clock
   * @param events posts to the router's event loop
   * @param diagnostics hears of each send and close
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
    this.connectionFactory =
        new TcpConnection.Factory(net, new ReplyReader(events, diagnostics.events()));
  }

  RespConnectionLimits limits() {
    return limits;
  }

  /** Hears of each send. */
  RouterDiagnostics diagnostics() {
    return diagnostics;
  }

  /** Nanoseconds of the router's clock. */
  long nowNanos() {
    return clock.get().toNanos();
  }

  /** Posts an event: what the core asks is never answered before the call returns. */
  void post(Consumer<RouterCore> event) {
    events.accept(event);
  }

  /** The pool of a worker, made where it has none yet. */
  RespConnectionPool poolFor(WorkerEntry worker) {
    if (worker.attachment() == null) {
      RespConnectionPool pool =
          new RespConnectionPool(this, new InetSocketAddress(worker.host(), worker.port()));
      worker.attach(pool);
      pools.add(pool);
    }
    return (RespConnectionPool) worker.attachment();
  }

  /** Connections that one worker may have when all that are in use share the limit. */
  int maxConnectionsPerWorker() {
    int share = limits.maxConnections() / Math.max(1, pools.size());
    return Math.max(MIN_CONNECTIONS_PER_WORKER, Math.min(limits.maxConnectionsPerWorker(), share));
  }

  /**
   * Whether one more connection may be opened. At the limit the idle connection that was least
   * recently used is closed for it, so this must be asked last.
   */
  boolean makeRoom() {
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
    evicted.tcp.close(WorkerCloseReason.EVICTED);
    return true;
  }

  /** Opens a connection for a pool, which is notified how that ended. */
  void connect(RespConnectionPool pool, InetSocketAddress address) {
    connectionCount++;
    connectionFactory.connect(
        address,
        limits.connectTimeout(),
        new Connector.ConnectCallback<>() {
          @Override
          public void connected(TcpConnection tcp) {
            RespConnection connection =
                new RespConnection(tcp, pool, new RespDecoder(MAX_STRING_BYTES), nowNanos());
            tcp.attach(connection);
            events.accept(
                core -> pool.connectionOpened(core, connection)); // it may have closed by then
          }

          @Override
          public void failed(String why) {
            events.accept(pool::connectFailed);
          }
        });
  }

  /** A connection was closed, or could not be opened. */
  void connectionEnded() {
    connectionCount--;
  }

  /** Closes idle connections and forgets the pools of workers that are gone. */
  void sweep() {
    pools.removeIf(pool -> pool.sweep(limits.idleTimeout().toNanos()));
  }

  /** Connections that are open or being opened. */
  int connectionCount() {
    return connectionCount;
  }
}
