package switchgap.protocol.resp;

import java.util.ArrayList;
import java.util.List;

/** The open connections to one worker, and the choice among them. Belongs to the event loop. */
final class OpenConnections {
  private final List<RespConnection> connections = new ArrayList<>();

  void add(RespConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection; returns whether it was there. */
  boolean remove(RespConnection connection) {
    return connections.remove(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  int size() {
    return connections.size();
  }

  /** The number of connections that are not unresponsive. */
  int responsiveCount() {
    int responsive = 0;
    for (RespConnection connection : connections) {
      responsive += connection.isResponsive() ? 1 : 0;
    }
    return responsive;
  }

  /**
   * Returns the connection with the fewest exchanges in flight of those that may carry an exchange,
   * the oldest of several; null where none may.
   */
  RespConnection leastLoaded(RespExchange exchange, int maxInFlight) {
    RespConnection best = null;
    for (RespConnection connection : connections) {
      if (connection.mayCarry(exchange, maxInFlight)
          && (best == null || connection.inFlightCount() < best.inFlightCount())) {
        best = connection;
      }
    }
    return best;
  }

  /**
   * Returns the idle connection that was least recently used, of these and {@code other}, which may
   * be null; null where there is none.
   */
  RespConnection leastRecentlyUsed(RespConnection other) {
    RespConnection oldest = other;
    for (RespConnection connection : connections) {
      if (connection.isIdle()
          && connection.isOpen()
          && (oldest == null || connection.lastUsedNanos() < oldest.lastUsedNanos())) {
        oldest = connection;
      }
    }
    return oldest;
  }

  /** Closes the idle connections that were last used at this time or earlier. */
  void closeIdle(long usedUntilNanos) {
    for (RespConnection connection : connections) {
      if (connection.isIdle() && connection.lastUsedNanos() <= usedUntilNanos) {
        connection.close(WorkerCloseReason.IDLE);
      }
    }
  }
}
