package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import switchgap.net.StallHistory;

/**
 * The clients' connections as the event loop knows them, bounded: past the bound an idle connection
 * is evicted for a new one. Event loop only.
 */
final class ClientConnectionTable {
  /**
   * A client that has sent nothing for this part of the receive timeout is evicted before all
   * others.
   */
  private static final int SILENT_TIMEOUT_DIVISOR = 4;

  /**
   * One on which something was going on less than this ago is in use: a reply may be on its way to
   * the client, or a message from it. The platform takes so long for a close and a request to
   * cross.
   */
  private static final Duration QUIET_FOR = Duration.ofMillis(50);

  private final Set<ClientConnection> connections = new HashSet<>();
  private final int maxConnections;
  private final Duration receiveTimeout;
  private final Duration silentTimeout;
  private final StallHistory pauses = new StallHistory();

  ClientConnectionTable(int maxConnections, Duration receiveTimeout) {
    this.maxConnections = maxConnections;
    this.receiveTimeout = receiveTimeout;
    silentTimeout = receiveTimeout.dividedBy(SILENT_TIMEOUT_DIVISOR);
  }

  /** Takes in a new connection. */
  void add(ClientConnection connection) {
    if (connection.isOpen()) { // or it was closed before the event loop heard of it
      connections.add(connection);
    }
  }

  /**
   * Evicts connections of no use while there are too many: the ones that are in use stay, however
   * many.
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
      if (evicted.evict()) {
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

  /** Connections on which anything is under way. */
  int activeCount() {
    int active = 0;
    for (ClientConnection connection : connections) {
      if (connection.isActive()) {
        active++;
      }
    }
    return active;
  }

  /** The connections of this moment, which may be closed while they are walked through. */
  List<ClientConnection> snapshot() {
    return new ArrayList<>(connections);
  }

  /** The process was held up for so long, until now: no client is to blame for it. */
  void pauseEnded(Duration now, Duration length) {
    pauses.add(now, length);
  }

  /** Closes connections that take too long for a message. */
  void closeOverdue(Duration now) {
    for (ClientConnection connection : snapshot()) {
      if (connection.isReceiveOverdue(now, receiveTimeout, pauses)) {
        connection.close(ClientCloseReason.RECEIVE_TIMEOUT);
      }
    }
  }

  private boolean isEvictable(ClientConnection connection, Duration now) {
    Duration quiet = connection.hasUnsentReplies() ? receiveTimeout : QUIET_FOR;
    return connection.isOpen() && connection.isIdle() && connection.isQuiet(now, quiet);
  }

  /** Silent ones go first, then the one that has been of no use for longest. */
  private int compareForEviction(ClientConnection first, ClientConnection second, Duration now) {
    boolean isFirstSilent = first.isSilent(now, silentTimeout);
    boolean isSecondSilent = second.isSilent(now, silentTimeout);
    if (isFirstSilent != isSecondSilent) {
      return isFirstSilent ? -1 : 1;
    }
    return Long.compare(first.lastActiveNanos(), second.lastActiveNanos());
  }
}
