package switchgap.protocol.inference;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import switchgap.net.HttpClientConnection;

/** The idle connections of one pool, last in first out. Guarded by the lock of its pool. */
final class IdleConnections {
  /** The most recently used first. */
  private final ArrayDeque<HttpClientConnection> connections = new ArrayDeque<>();

  void add(HttpClientConnection connection) {
    connections.addFirst(connection);
  }

  void remove(HttpClientConnection connection) {
    connections.remove(connection);
  }

  /** Removes the usable connection that was used last and returns it, or null. */
  HttpClientConnection pollUsable() {
    HttpClientConnection connection = connections.pollFirst();
    while (connection != null && !connection.isUsable()) {
      connection = connections.pollFirst();
    }
    return connection;
  }

  /** Removes the connections that have been idle for longer than the timeout and returns them. */
  List<HttpClientConnection> drainExpired(long nowNanos, Duration idleTimeout) {
    List<HttpClientConnection> expired = new ArrayList<>();
    while (!connections.isEmpty()
        && nowNanos - connections.peekLast().idleSinceNanos() > idleTimeout.toNanos()) {
      expired.add(connections.pollLast());
    }
    return expired;
  }

  /** Removes all connections and returns them. */
  List<HttpClientConnection> drain() {
    List<HttpClientConnection> drained = List.copyOf(connections);
    connections.clear();
    return drained;
  }
}
