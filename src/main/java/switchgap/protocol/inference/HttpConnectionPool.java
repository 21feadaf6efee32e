package switchgap.protocol.inference;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.WeakHashMap;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.policy.api.AttemptOutcome;

/**
 * Persistent connections to one worker. They are opened on demand up to a limit, reused most
 * recently used first, and closed after an idle timeout. The pool never sends a request twice: if a
 * connection is lost after it accepted bytes, the exchange ends as lost; only an exchange of which
 * no byte was sent moves to another connection.
 *
 * <p>It shares no code with the pool of the RESP protocol, which is confined to the event loop and
 * multiplexes exchanges over a connection. This pool is also used by writer threads, so its state
 * is guarded by its lock, and a connection carries one exchange at a time. Callbacks are called
 * without holding the lock.
 */
final class HttpConnectionPool {
  private final HttpClientConnector connector;
  private final InetSocketAddress address;
  private final HttpPoolLimits limits;
  private final IdleConnections idleConnections = new IdleConnections();
  private final ExchangeQueue waitingExchanges;

  /**
   * Connections whose close has been counted, since a connection may report its close repeatedly.
   */
  private final Set<HttpClientConnection> closedConnections =
      Collections.newSetFromMap(new WeakHashMap<>());

  private int openCount;
  private int openingCount;
  private boolean retired;

  HttpConnectionPool(
      HttpClientConnector connector, InetSocketAddress address, HttpPoolLimits limits) {
    this.connector = connector;
    this.address = address;
    this.limits = limits;
    this.waitingExchanges = new ExchangeQueue(limits.maxPendingExchanges());
  }

  /** Number of open connections, both idle and in use. */
  synchronized int openConnections() {
    return openCount;
  }

  /** Sends an exchange or queues it; if neither is possible, ends it as not sent. */
  void submit(InferenceExchange exchange) {
    HttpClientConnection connection = null;
    boolean queued = false;
    synchronized (this) {
      if (exchange.canBeSent()) {
        connection = idleConnections.pollUsable();
        queued = connection == null && waitingExchanges.offer(exchange);
      }
    }
    if (connection != null) {
      send(exchange, connection);
    } else if (queued || !exchange.endNotSent(AttemptOutcome.NOT_SENT)) {
      openConnectionsForWaiting();
    }
  }

  /** Sends an exchange on a connection; submits it again if the connection accepts no byte. */
  private void send(InferenceExchange exchange, HttpClientConnection connection) {
    if (!exchange.assign(connection)) {
      // The request was not executed, so the router can send it to another worker without delay.
      exchange.endNotSent(AttemptOutcome.NOT_SENT);
      release(connection);
    } else if (!exchange.sendOn(connection)) {
      if (exchange.unassign()) {
        submit(exchange);
      }
    } else if (exchange.isEnded()) {
      // It was abandoned between assign() and sendOn(). The connection did not carry it yet, so
      // abandon() could not release the connection.
      connection.abandon(exchange);
    }
  }

  private void openConnectionsForWaiting() {
    int connectionsToOpen;
    synchronized (this) {
      waitingExchanges.removeEnded();
      int remainingCapacity = limits.maxConnections() - openCount - openingCount;
      connectionsToOpen =
          Math.max(0, Math.min(waitingExchanges.size() - openingCount, remainingCapacity));
      openingCount += connectionsToOpen;
    }
    for (int i = 0; i < connectionsToOpen; i++) {
      connector.connect(address, limits.connectTimeout(), new ConnectListener());
    }
  }

  private final class ConnectListener implements HttpClientConnection.ConnectCallback {
    @Override
    public void connected(HttpClientConnection connection) {
      synchronized (HttpConnectionPool.this) {
        openingCount--;
        openCount++;
      }
      connection.onClose(() -> connectionClosed(connection));
      release(connection);
    }

    @Override
    public void failed(ConnectFailure failure) {
      InferenceExchange exchange;
      synchronized (HttpConnectionPool.this) {
        openingCount--;
        exchange = waitingExchanges.size() > openingCount ? waitingExchanges.poll() : null;
      }
      if (exchange != null) {
        exchange.endNotSent(AttemptOutcome.CONNECT_FAILED);
      }
      // More exchanges may wait than connections may be open, so each failure starts another try
      // until all exchanges have been sent or notified.
      openConnectionsForWaiting();
    }
  }

  private void connectionClosed(HttpClientConnection connection) {
    boolean exchangesWait;
    synchronized (this) {
      if (!closedConnections.add(connection)) {
        return;
      }
      openCount--;
      idleConnections.remove(connection);
      exchangesWait = !waitingExchanges.isEmpty();
    }
    if (exchangesWait) {
      openConnectionsForWaiting();
    }
  }

  /** Takes back a connection that is no longer in use and assigns it to the next exchange. */
  void release(HttpClientConnection connection) {
    InferenceExchange nextExchange;
    boolean closeConnection;
    synchronized (this) {
      nextExchange = waitingExchanges.poll();
      closeConnection = nextExchange == null && retired;
      if (nextExchange == null && !retired && connection.isUsable()) {
        idleConnections.add(connection);
      }
    }
    if (nextExchange != null) {
      send(nextExchange, connection);
    } else if (closeConnection) {
      connection.close();
    }
  }

  /** Ends all waiting exchanges as not sent; exchanges in flight continue. */
  void rejectWaiting() {
    List<InferenceExchange> rejected;
    synchronized (this) {
      rejected = waitingExchanges.drain();
    }
    rejected.forEach(exchange -> exchange.endNotSent(AttemptOutcome.NOT_SENT));
  }

  /** Ends all waiting exchanges as not sent, and closes each connection once it is idle. */
  void retire() {
    synchronized (this) {
      retired = true;
    }
    rejectWaiting();
    closeIdle();
  }

  /** Closes all connections that have been idle for longer than the timeout. */
  void closeExpired(Duration idleTimeout) {
    List<HttpClientConnection> expired;
    long now = System.nanoTime();
    synchronized (this) {
      expired = idleConnections.drainExpired(now, idleTimeout);
    }
    expired.forEach(HttpClientConnection::close);
  }

  /** Closes all idle connections. */
  void closeIdle() {
    List<HttpClientConnection> drained;
    synchronized (this) {
      drained = idleConnections.drain();
    }
    drained.forEach(HttpClientConnection::close);
  }
}
