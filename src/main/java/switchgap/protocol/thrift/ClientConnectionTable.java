package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import switchgap.net.StallHistory;

/**
 * The clients' connections that the event loop tracks. Past their maximum number idle connections
 * are evicted for new ones. Event loop only.
 */
final class ClientConnectionTable {
  /**
   * A client that has sent no message for the receive timeout divided by this is evicted before all
   * others.
   */
  private static final int SILENT_TIMEOUT_DIVISOR = 4;

  /**
   * A connection that was active less than this ago is in use: a reply may be on its way to the
   * client, or a message from it. On the platform a close and a request may cross for as long.
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
   * Evicts idle connections while there are too many. Connections in use stay, however many they
   * are.
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
    candidates.sort((first, second) -> compareForEviction(first, second, now));
    for (ClientConnection evicted : candidates.subList(0, Math.min(excess, candidates.size()))) {
      if (evicted.evict(ClientCloseReason.EVICTED)) {
        connections.remove(evicted);
      }
    }
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
  }

  int size() {
    return connections.size();
  }

  /** Connections with a request in flight, queued or partial, or with an unwritten reply. */
  int activeCount() {
    int active = 0;
    for (ClientConnection connection : connections) {
      if (connection.isActive()) {
        active++;
      }
    }
    return active;
  }

  /** The connections at this moment, which may be closed while they are visited. */
  List<ClientConnection> snapshot() {
    return new ArrayList<>(connections);
  }

  /** A pause of the process ended: it does not count against any client's receive timeout. */
  void stallEnded(Duration now, Duration length) {
    stalls.add(now, length);
  }

  /** Closes connections whose message is overdue. */
  void closeOverdue(Duration now) {
    for (ClientConnection connection : snapshot()) {
      if (connection.isReceiveOverdue(now, receiveTimeout, stalls)) {
        connection.close(ClientCloseReason.RECEIVE_TIMEOUT);
      }
    }
  }

  /**
   * Closes the connections that are idle and quiet, as the router shuts down. One that has carried
   * no message may be about to carry its first: it has longer.
   */
  void closeQuiet(Duration now) {
    for (ClientConnection connection : snapshot()) {
      boolean isNew = !connection.hasReceivedMessage();
      boolean isEnding = !isNew || connection.isSilent(now, silentTimeout);
      if (isEnding && isEvictable(connection, now)) {
        connection.evict(ClientCloseReason.SHUTDOWN);
      }
    }
  }

  private boolean isEvictable(ClientConnection connection, Duration now) {
    Duration minQuiet = connection.hasUnsentReplies() ? receiveTimeout : MIN_QUIET_DURATION;
    return connection.isOpen() && connection.isIdle() && connection.isQuiet(now, minQuiet);
  }

  /** Orders silent connections first, then the least recently active. */
  private int compareForEviction(ClientConnection first, ClientConnection second, Duration now) {
    boolean isFirstSilent = first.isSilent(now, silentTimeout);
    boolean isSecondSilent = second.isSilent(now, silentTimeout);
    if (isFirstSilent != isSecondSilent) {
      return isFirstSilent ? -1 : 1;
    }
    return Long.compare(first.lastActiveNanos(), second.lastActiveNanos());
  }
}
