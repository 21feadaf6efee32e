package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import switchgap.net.StallHistory;

/**
 * The client connections that the event loop tracks. Evicts idle connections while there are more
 * than the maximum. Event loop only.
 */
final class ClientConnectionTable {
  /**
   * Clients that have not sent any message within the receive timeout divided by this value are
   * evicted first.
   */
  private static final int SILENT_TIMEOUT_DIVISOR = 4;

  /**
   * A connection that was active within this duration is considered in use, as a reply or a new
   * message may still be in transit. On the platform a request can be in transit for this long when
   * its connection is closed.
   */
  private static final Duration MIN_QUIET_DURATION = Duration.ofMillis(50);

  private final Set<ClientConnection> connections = new HashSet<>();
  private final int maxConnections;
  private final Duration receiveTimeout;
  private final Duration silentTimeout;
  private final StallHistory stalls = new StallHistory();

  ClientConnectionTable(int maxConnections, Duration receiveTimeout) {
    this.maxConnections = maxConnections;
    this.receiveTimeout = receiveTimeout;
    silentTimeout = receiveTimeout.dividedBy(SILENT_TIMEOUT_DIVISOR);
  }

  /** Tracks a new connection, unless it was closed before its opening reached the event loop. */
  void add(ClientConnection connection) {
    if (connection.isOpen()) {
      connections.add(connection);
    }
  }

  /**
   * Evicts idle connections while there are too many. Connections in use are never evicted, even if
   * they exceed the maximum.
   */
  void evictExcess(Duration now) {
    int excess = connections.size() - maxConnections;
    if (excess <= 0) {
      return;
    }
    List<ClientConnection> candidates = new ArrayList<>();
    for (ClientConnection connection : connections) {
      if (isEvictable(connection, now)) {
        candidates.add(connection);
      }
    }
    EvictionOrder<ClientConnection> order =
        new EvictionOrder<>(
            connection -> connection.isSilent(now, silentTimeout),
            ClientConnection::lastActiveNanos);
    for (ClientConnection candidate : order.first(excess, candidates)) {
      if (candidate.evict(ClientCloseReason.EVICTED)) {
        connections.remove(candidate);
      }
    }
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  int size() {
    return connections.size();
  }

  /**
   * Number of connections with a request in flight, queued or partially received, or with an unsent
   * reply.
   */
  int activeCount() {
    int active = 0;
    for (ClientConnection connection : connections) {
      if (connection.isActive()) {
        active++;
      }
    }
    return active;
  }

  /** A copy of the connections, so that callers may close them while iterating. */
  List<ClientConnection> snapshot() {
    return new ArrayList<>(connections);
  }

  /**
   * Records a stall of the process that has just ended, which is excluded from the clients' receive
   * timeouts.
   */
  void stallEnded(Duration now, Duration length) {
    stalls.add(now, length);
  }

  /** Closes the connections on which a message is overdue. */
  void closeOverdue(Duration now) {
    for (ClientConnection connection : snapshot()) {
      if (connection.isReceiveOverdue(now, receiveTimeout, stalls)) {
        connection.close(ClientCloseReason.RECEIVE_TIMEOUT);
      }
    }
  }

  /**
   * Closes the connections that are idle and quiet, for the shutdown. A connection without any
   * message so far gets more time, as its first message may be about to arrive.
   */
  void closeQuiet(Duration now) {
    for (ClientConnection connection : snapshot()) {
      boolean isNew = !connection.hasReceivedMessage();
      boolean mayClose = !isNew || connection.isSilent(now, silentTimeout);
      if (mayClose && isEvictable(connection, now)) {
        connection.evict(ClientCloseReason.SHUTDOWN);
      }
    }
  }

  private boolean isEvictable(ClientConnection connection, Duration now) {
    Duration minQuiet = connection.hasUnsentReplies() ? receiveTimeout : MIN_QUIET_DURATION;
    return connection.isOpen() && connection.isIdle() && connection.isQuiet(now, minQuiet);
  }
}
