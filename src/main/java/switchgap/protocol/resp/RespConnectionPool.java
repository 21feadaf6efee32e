package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.RouterCore;
import switchgap.router.WorkerEntry;

/**
 * The connections to one worker: few, shared, and each with as few exchanges in flight as possible,
 * since a malformed reply loses everything in flight on its connection. Nothing is ever sent twice.
 * Exchanges wait only while a connection is being opened, up to a limit. All methods belong to the
 * event loop.
 *
 * <p>It shares no code with the pool of the inference protocol: this one multiplexes exchanges over
 * a connection, that one has one exchange at a time on a connection and is guarded by a lock, since
 * writer threads use it.
 */
final class RespConnectionPool {
  private final RespConnectionManager manager;
  private final WorkerEntry worker;
  private final InetSocketAddress address;
  private final OpenConnections connections = new OpenConnections();
  private final WaitingExchanges waiting;
  private final int maxInFlightPerConnection;

  /** The number of connections that are being opened. */
  private int opening;

  /**
   * Whether the worker refused a connection, or ended the last one that was open, and none was
   * opened since.
   */
  private boolean endedByWorker;

  /** Whether the worker is gone for good. */
  private boolean retired;

  RespConnectionPool(
      RespConnectionManager manager, WorkerEntry worker, RespConnectionLimits limits) {
    this.manager = manager;
    this.worker = worker;
    this.address = new InetSocketAddress(worker.host(), worker.port());
    this.waiting = new WaitingExchanges(limits.maxWaitingPerWorker());
    this.maxInFlightPerConnection = limits.maxInFlightPerConnection();
  }

  /**
   * Sends an exchange, queues it for a connection that is being opened, or ends it as not sent. The
   * end is notified by an event, never before this returns.
   */
  void submit(RespExchange exchange) {
    boolean maySend = maySend(exchange) && !retired;
    RespConnection connection = maySend ? leastLoaded(exchange) : null;
    if (maySend && (connection == null || !connection.isIdle()) && mayConnect()) {
      opening++;
      manager.connect(this, address);
    }
    if (connection != null) {
      send(exchange, connection);
    } else if (maySend(exchange) && opening > 0 && !waiting.isFull()) {
      waiting.add(exchange);
    } else {
      endLater(exchange, AttemptOutcome.NOT_SENT);
    }
  }

  private boolean maySend(RespExchange exchange) {
    return exchange.maySend(manager.nowNanos());
  }

  private RespConnection leastLoaded(RespExchange exchange) {
    return connections.leastLoaded(exchange, maxInFlightPerConnection);
  }

  private void endLater(RespExchange exchange, AttemptOutcome outcome) {
    manager.post(core -> exchange.complete(core, outcome, null));
  }

  /**
   * Whether one more connection may be opened. Unresponsive connections do not count: each is
   * replaced, and closed once nothing is in flight on it.
   */
  private boolean mayConnect() {
    int max = manager.maxConnectionsPerWorker();
    return connections.responsiveCount() + opening < max
        && connections.size() + opening < 2 * max
        && manager.ensureCapacity();
  }

  /** See {@link OpenConnections#leastRecentlyUsed}. */
  RespConnection leastRecentlyUsed(RespConnection other) {
    return connections.leastRecentlyUsed(other);
  }

  private void send(RespExchange exchange, RespConnection connection) {
    boolean sent = connection.send(exchange, manager.nowNanos(), manager.diagnostics());
    if (!sent) {
      endLater(exchange, AttemptOutcome.NOT_SENT);
    } else if (exchange.replyId() == null) {
      endLater(exchange, AttemptOutcome.SUCCEEDED);
    }
  }

  /** A connection was opened; it may have been closed since. */
  void connectionOpened(RouterCore core, RespConnection connection) {
    opening--;
    if (retired || !connection.isOpen()) {
      connection.close(WorkerCloseReason.WORKER_GONE);
      manager.connectionEnded();
    } else {
      connections.add(connection);
      notifyIfReconnected(core);
    }
    settleWaiting(core, AttemptOutcome.NOT_SENT);
  }

  private void notifyIfReconnected(RouterCore core) {
    if (endedByWorker) {
      endedByWorker = false;
      core.workerReconnected(worker);
    }
  }

  /** A connection could not be opened. */
  void connectFailed(RouterCore core) {
    opening--;
    endedByWorker |= connections.isEmpty();
    manager.connectionEnded();
    settleWaiting(core, AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Sends waiting exchanges as far as the connections allow. The rest keep waiting where a further
   * connection is being opened, and end at once where none is.
   *
   * @param outcomeWithoutConnection the outcome of those that end while no connection is open
   */
  private void settleWaiting(RouterCore core, AttemptOutcome outcomeWithoutConnection) {
    waiting.settleEach(exchange -> settle(core, exchange, outcomeWithoutConnection));
  }

  private boolean settle(
      RouterCore core, RespExchange exchange, AttemptOutcome outcomeWithoutConnection) {
    if (exchange.state() != RespExchange.State.WAITING) {
      return true;
    }
    RespConnection connection = leastLoaded(exchange);
    if (connection != null) {
      send(exchange, connection);
      return true;
    }
    if (opening > 0) {
      return false;
    }
    AttemptOutcome outcome =
        connections.isEmpty() ? outcomeWithoutConnection : AttemptOutcome.NOT_SENT;
    exchange.complete(core, outcome, null);
    return true;
  }

  /** A connection was closed; what was in flight on it may have been executed. */
  void connectionClosed(RouterCore core, RespConnection connection, WorkerCloseReason reason) {
    if (connections.remove(connection)) {
      manager.connectionEnded();
      endedByWorker |= connections.isEmpty() && reason.isByWorker();
    }
    connection.closed(core);
  }

  /** A reply arrived on a connection. */
  void replyReceived(RouterCore core, RespConnection connection, WorkerReply reply) {
    connection.replyReceived(core, reply, manager.nowNanos());
  }

  /**
   * Ends an exchange whose reply is not needed any more, without notifying its listener.
   *
   * @return NOT_SENT or CONNECT_FAILED where no byte of it was sent, else TIMED_OUT
   */
  AttemptOutcome abandon(RespExchange exchange) {
    RespExchange.State before = exchange.abandon();
    if (before == RespExchange.State.WAITING) {
      waiting.remove(exchange);
      return connections.isEmpty() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
    }
    if (before == RespExchange.State.IN_FLIGHT) {
      exchange.connection().abandon(exchange, manager.nowNanos());
    }
    return AttemptOutcome.TIMED_OUT;
  }

  /**
   * The worker is draining: waiting exchanges that may not be sent to it any more end as not sent;
   * those in flight go on.
   */
  void rejectWaiting() {
    waiting.settleEach(
        exchange -> {
          boolean rejected = !maySend(exchange);
          if (rejected) {
            endLater(exchange, AttemptOutcome.NOT_SENT);
          }
          return rejected;
        });
  }

  /**
   * The worker is gone for good: waiting exchanges end as not sent, and connections are closed as
   * soon as they are idle.
   */
  void retire() {
    retired = true;
    waiting.settleEach(
        exchange -> {
          endLater(exchange, AttemptOutcome.NOT_SENT);
          return true;
        });
    closeIdleFor(0);
  }

  /** Closes connections that were idle for so many nanoseconds; all idle ones of a retired pool. */
  void closeIdleFor(long idleNanos) {
    long usedUntilNanos = retired ? Long.MAX_VALUE : manager.nowNanos() - idleNanos;
    connections.closeIdle(usedUntilNanos);
  }

  /** Whether the worker is gone and no connection to it is left. */
  boolean isDisposable() {
    return retired && connections.isEmpty() && opening == 0;
  }
}
