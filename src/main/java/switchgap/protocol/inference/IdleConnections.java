package switchgap.protocol.inference;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import switchgap.net.HttpClientConnection;

/** LIFO stack of the idle connections of one pool. Guarded by the lock of the pool. */
final class IdleConnections {
  /** Ordered by last use, the most recently used connection first. */
  private final ArrayDeque<HttpClientConnection> connections = new ArrayDeque<>();

  void add(HttpClientConnection connection) {
    connections.addFirst(connection);
  }

  void remove(HttpClientConnection connection) {
    connections.remove(connection);
  }

  /** Removes and returns the most recently used connection that is usable, or null. */
  HttpClientConnection pollUsable() {
    HttpClientConnection connection = connections.pollFirst();
    while (connection != null && !connection.isUsable()) {
      connection = connections.pollFirst();
    }
    return connection;
  }

  /** Removes and returns the connections that have been idle for longer than the timeout. */
  List<HttpClientConnection> drainExpired(long nowNanos, Duration idleTimeout) {
    List<HttpClientConnection> expired = new ArrayList<>();
    while (!connections.isEmpty()
        && nowNanos - connections.peekLast().idleSinceNanos() > idleTimeout.toNanos()) {
      expired.add(connections.pollLast());
    }
    return expired;
  }

  /** Removes and returns all connections. */
  List<HttpClientConnection> drain() {
    List<HttpClientConnection> drained = List.copyOf(connections);
    connections.clear();
    return drained;
  }
}
