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
 * Persistent connections to one worker: opened as needed up to a limit, the most recently used
 * first, closed when idle. The pool never retries: an exchange whose connection took bytes and was
 * lost is lost, and only one of which no byte was sent is sent on another connection.
 *
 * <p>It shares no code with the pool of the RESP protocol: that one belongs to the event loop alone
 * and multiplexes exchanges over a connection, this one is guarded by its lock as writer threads
 * use it, and has one exchange at a time on a connection. Callbacks are called without the lock.
 */
final class HttpConnectionPool {
  private final HttpClientConnector connectionFactory;
  private final InetSocketAddress address;
  private final HttpPoolLimits limits;
  private final IdleConnections idle = new IdleConnections();
  private final ExchangeQueue waiting;

  /** Closed connections that have been counted: a connection may report its end more than once. */
  private final Set<HttpClientConnection> closed = Collections.newSetFromMap(new WeakHashMap<>());

  private int open;
  private int opening;
  private boolean retired;

  HttpConnectionPool(
      HttpClientConnector connectionFactory, InetSocketAddress address, HttpPoolLimits limits) {
    this.connectionFactory = connectionFactory;
    this.address = address;
    this.limits = limits;
    this.waiting = new ExchangeQueue(limits.maxPendingExchanges());
  }

  /** Connections that are open, idle or in use. */
  synchronized int openConnections() {
    return open;
  }

  /** Sends an exchange of this pool, has it wait for a connection, or ends it as not sent. */
  void submit(InferenceExchange exchange) {
    HttpClientConnection connection = null;
    boolean waits = false;
    synchronized (this) {
      if (exchange.maySend()) {
        connection = idle.pollUsable();
        waits = connection == null && waiting.offer(exchange);
      }
    }
    if (connection != null) {
      send(exchange, connection);
    } else if (waits || !exchange.endNotSent(AttemptOutcome.NOT_SENT)) {
      openConnectionsForWaiting();
    }
  }

  /** Sends an exchange on a connection; where that takes no byte, on another one. */
  private void send(InferenceExchange exchange, HttpClientConnection connection) {
    if (!exchange.assign(connection)) {
      // Ended at once: what is known not to have been executed can still go to another worker.
      exchange.endNotSent(AttemptOutcome.NOT_SENT);
      release(connection);
    } else if (!exchange.sendOn(connection)) {
      if (exchange.unassign()) {
        submit(exchange);
      }
    } else if (exchange.isEnded()) {
      // Abandoned just before it was sent: nobody else would end it and free its connection.
      connection.abandon(exchange);
    }
  }

  private void openConnectionsForWaiting() {
    int needed;
    synchronized (this) {
      waiting.removeEnded();
      int allowed = limits.maxConnections() - open - opening;
      needed = Math.max(0, Math.min(waiting.size() - opening, allowed));
      opening += needed;
    }
    for (int i = 0; i < needed; i++) {
      connectionFactory.connect(address, limits.connectTimeout(), new ConnectListener());
    }
  }

  private final class ConnectListener implements HttpClientConnection.ConnectCallback {
    @Override
    public void connected(HttpClientConnection connection) {
      synchronized (HttpConnectionPool.this) {
        opening--;
        open++;
      }
      connection.onClose(() -> connectionClosed(connection));
      release(connection);
    }

    @Override
    public void failed(ConnectFailure failure) {
      InferenceExchange exchange;
      synchronized (HttpConnectionPool.this) {
        opening--;
        exchange = waiting.size() > opening ? waiting.poll() : null;
      }
      if (exchange != null) {
        exchange.endNotSent(AttemptOutcome.CONNECT_FAILED);
      }
      // More may wait than connections may be open: each is tried, and notified, in its turn.
      openConnectionsForWaiting();
    }
  }

  private void connectionClosed(HttpClientConnection connection) {
    boolean othersWait;
    synchronized (this) {
      if (!closed.add(connection)) {
        return;
      }
      open--;
      idle.remove(connection);
      othersWait = !waiting.isEmpty();
    }
    if (othersWait) {
      openConnectionsForWaiting();
    }
  }

  /** A connection is free: the next exchange that waits takes it. */
  void release(HttpClientConnection connection) {
    InferenceExchange next;
    boolean unneeded;
    synchronized (this) {
      next = waiting.poll();
      unneeded = next == null && retired;
      if (next == null && !retired && connection.isUsable()) {
        idle.add(connection);
      }
    }
    if (next != null) {
      send(next, connection);
    } else if (unneeded) {
      connection.close();
    }
  }

  /** The worker accepts nothing new: what waits ends at once, what is in flight goes on. */
  void rejectWaiting() {
    List<InferenceExchange> rejected;
    synchronized (this) {
      rejected = waiting.drain();
    }
    rejected.forEach(exchange -> exchange.endNotSent(AttemptOutcome.NOT_SENT));
  }

  /** The worker is gone for good: as above, and connections are closed as they become idle. */
  void retire() {
    synchronized (this) {
      retired = true;
    }
    rejectWaiting();
    closeIdle();
  }

  /** Closes connections that have been idle for longer than the timeout. */
  void sweep(Duration idleTimeout) {
    List<HttpClientConnection> expired;
    long now = System.nanoTime();
    synchronized (this) {
      expired = idle.drainExpired(now, idleTimeout);
    }
    expired.forEach(HttpClientConnection::close);
  }

  /** Closes all idle connections. */
  void closeIdle() {
    List<HttpClientConnection> unused;
    synchronized (this) {
      unused = idle.drain();
    }
    unused.forEach(HttpClientConnection::close);
  }
}
