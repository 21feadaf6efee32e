package switchgap.protocol.resp;

import java.util.ArrayList;
import java.util.List;

/**
 * The open connections to one worker, and the selection of one of them. Must be used on the event
 * loop only.
 */
final class OpenConnections {
  private final List<RespConnection> connections = new ArrayList<>();

  void add(RespConnection connection) {
    connections.add(connection);
  }

  /** Removes a connection, and returns whether it was present. */
  boolean remove(RespConnection connection) {
    return connections.remove(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  int size() {
    return connections.size();
  }

  /** The number of connections on which no reply is overdue. */
  int responsiveCount() {
    int responsive = 0;
    for (RespConnection connection : connections) {
      responsive += connection.isResponsive() ? 1 : 0;
    }
    return responsive;
  }

  /**
   * Returns the connection with the fewest exchanges in flight among those that can carry the
   * exchange, or null if there is none. On a tie, the connection that was opened first is chosen.
   */
  RespConnection leastLoaded(RespExchange exchange, int maxInFlight) {
    RespConnection best = null;
    for (RespConnection connection : connections) {
      if (connection.canCarry(exchange, maxInFlight)
          && (best == null || connection.inFlightCount() < best.inFlightCount())) {
        best = connection;
      }
    }
    return best;
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
