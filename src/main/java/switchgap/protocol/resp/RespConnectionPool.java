package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.RouterCore;
import switchgap.router.WorkerEntry;

/**
 * The pool of connections to one worker. Exchanges are multiplexed over a few connections, each
 * with as few exchanges in flight as possible, because a malformed reply loses all exchanges in
 * flight on its connection. An exchange is never sent twice. Exchanges wait only while a connection
 * is being opened, up to a limit. All methods must be called on the event loop.
 *
 * <p>It shares no code with the connection pool of the inference protocol, which runs one exchange
 * at a time on each connection and is guarded by a lock because writer threads use it.
 */
final class RespConnectionPool {
  private final RespConnectionManager manager;
  private final WorkerEntry worker;
  private final InetSocketAddress address;
  private final OpenConnections connections = new OpenConnections();
  private final WaitingExchanges waitingExchanges;
  private final int maxInFlightPerConnection;

  /** The number of connections that are being opened. */
  private int openingCount;

  /**
   * Whether a connection could not be opened while no other was open, or the worker closed the last
   * open one, and no connection has been opened since.
   */
  private boolean disconnectedByWorker;

  /** Whether the worker was removed from the endpoint list or has a new address. */
  private boolean retired;

  RespConnectionPool(
      RespConnectionManager manager, WorkerEntry worker, RespConnectionLimits limits) {
    this.manager = manager;
    this.worker = worker;
    this.address = new InetSocketAddress(worker.host(), worker.port());
    this.waitingExchanges = new WaitingExchanges(limits.maxWaitingPerWorker());
    this.maxInFlightPerConnection = limits.maxInFlightPerConnection();
  }

  /**
   * Sends an exchange, queues it for a connection that is being opened, or ends it as not sent. The
   * exchange's listener is notified by an event, never before this method returns.
   */
  void submit(RespExchange exchange) {
    boolean maySend = maySend(exchange) && !retired;
    RespConnection connection = maySend ? leastLoaded(exchange) : null;
    if (maySend && (connection == null || !connection.isIdle()) && mayConnect()) {
      openingCount++;
      manager.connect(this, address);
    }
    if (connection != null) {
      send(exchange, connection);
    } else if (maySend(exchange) && openingCount > 0 && !waitingExchanges.isFull()) {
      waitingExchanges.add(exchange);
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
   * Whether one more connection may be opened. Unresponsive connections do not count towards the
   * limit, because each is replaced by a new one and closed once nothing is in flight on it. The
   * total is limited to twice the maximum.
   */
  private boolean mayConnect() {
    int maxConnections = manager.maxConnectionsPerWorker();
    return connections.responsiveCount() + openingCount < maxConnections
        && connections.size() + openingCount < 2 * maxConnections
        && manager.ensureCapacity();
  }

  private void send(RespExchange exchange, RespConnection connection) {
    boolean sent = connection.send(exchange, manager.nowNanos(), manager.diagnostics());
    if (!sent) {
      endLater(exchange, AttemptOutcome.NOT_SENT);
      return;
    }
    manager.connectionUsed(connection);
    if (exchange.replyId() == null) {
      endLater(exchange, AttemptOutcome.SUCCEEDED);
    }
  }

  /** Adds a connection that was opened, unless it has been closed since. */
  void connectionOpened(RouterCore core, RespConnection connection) {
    openingCount--;
    if (retired || !connection.isOpen()) {
      connection.close(WorkerCloseReason.WORKER_GONE);
      manager.connectionEnded();
    } else {
      connections.add(connection);
      manager.connectionOpened(connection);
      notifyIfReconnected(core);
    }
    sendWaiting(core, AttemptOutcome.NOT_SENT);
  }

  private void notifyIfReconnected(RouterCore core) {
    if (disconnectedByWorker) {
      disconnectedByWorker = false;
      core.workerReconnected(worker);
    }
  }

  /** Handles the failure to open a connection. */
  void connectFailed(RouterCore core) {
    openingCount--;
    disconnectedByWorker |= connections.isEmpty();
    manager.connectionEnded();
    sendWaiting(core, AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Sends waiting exchanges as far as the connections have capacity. The remaining ones keep
   * waiting if another connection is being opened, and end immediately otherwise.
   *
   * @param outcomeWithoutConnection the outcome of exchanges that end while no connection is open
   */
  private void sendWaiting(RouterCore core, AttemptOutcome outcomeWithoutConnection) {
    waitingExchanges.removeIfHandled(
        exchange -> sendOrEnd(core, exchange, outcomeWithoutConnection));
  }

  private boolean sendOrEnd(
      RouterCore core, RespExchange exchange, AttemptOutcome outcomeWithoutConnection) {
    if (exchange.state() != RespExchange.State.WAITING) {
      return true;
    }
    RespConnection connection = leastLoaded(exchange);
    if (connection != null) {
      send(exchange, connection);
      return true;
    }
    if (openingCount > 0) {
      return false;
    }
    AttemptOutcome outcome =
        connections.isEmpty() ? outcomeWithoutConnection : AttemptOutcome.NOT_SENT;
    exchange.complete(core, outcome, null);
    return true;
  }

  /** Removes a connection that was closed. The exchanges in flight on it may have been executed. */
  void connectionClosed(RouterCore core, RespConnection connection, WorkerCloseReason reason) {
    if (connections.remove(connection)) {
      manager.connectionClosed(connection);
      disconnectedByWorker |= connections.isEmpty() && reason.isInitiatedByWorker();
    }
    connection.endExchangesInFlight(core);
  }

  /** Handles a reply that arrived on a connection. */
  void replyReceived(RouterCore core, RespConnection connection, WorkerReply reply) {
    connection.replyReceived(core, reply, manager.nowNanos());
    manager.connectionUsed(connection);
  }

  /**
   * Ends an exchange whose reply is not needed any more, without notifying its listener.
   *
   * @return NOT_SENT or CONNECT_FAILED if no byte of it was sent, otherwise TIMED_OUT
   */
  AttemptOutcome abandon(RespExchange exchange) {
    RespExchange.State previousState = exchange.abandon();
    if (previousState == RespExchange.State.WAITING) {
      waitingExchanges.remove(exchange);
      return connections.isEmpty() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
    }
    if (previousState == RespExchange.State.IN_FLIGHT) {
      exchange.connection().abandon(exchange, manager.nowNanos());
    }
    return AttemptOutcome.TIMED_OUT;
  }

  /**
   * Ends the waiting exchanges that may no longer be sent because the worker is draining. Exchanges
   * in flight continue.
   */
  void rejectWaiting() {
    waitingExchanges.removeIfHandled(
        exchange -> {
          boolean rejected = !maySend(exchange);
          if (rejected) {
            endLater(exchange, AttemptOutcome.NOT_SENT);
          }
          return rejected;
        });
  }

  /**
   * Retires the pool after the worker was removed from the endpoint list or got a new address.
   * Waiting exchanges end as not sent, and connections are closed as soon as they are idle.
   */
  void retire() {
    retired = true;
    waitingExchanges.removeIfHandled(
        exchange -> {
          endLater(exchange, AttemptOutcome.NOT_SENT);
          return true;
        });
    closeIdleFor(0);
  }

  /**
   * Closes connections that have been idle for at least {@code idleNanos}, and in a retired pool
   * all idle connections.
   */
  void closeIdleFor(long idleNanos) {
    long usedUntilNanos = retired ? Long.MAX_VALUE : manager.nowNanos() - idleNanos;
    connections.closeIdle(usedUntilNanos);
  }

  /** Whether the pool is retired and has no open or opening connection. */
  boolean isDisposable() {
    return retired && connections.isEmpty() && openingCount == 0;
  }
}
