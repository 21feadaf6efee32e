package switchgap.protocol.resp;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.RouterCore;

/**
 * The connections to one worker: few, shared, and each with as few exchanges in flight as can be,
 * since a reply that can't be read loses everything on its connection. Nothing is ever sent a
 * second time. Exchanges wait only while a connection is being opened, up to a limit.
 *
 * <p>It shares no code with the pool of the inference protocol: this one belongs to the event loop
 * alone and multiplexes exchanges over a connection, that one is guarded by its lock as writer
 * threads use it, and has one exchange at a time on a connection.
 */
final class RespConnectionPool {
  private final RespConnectionManager manager;
  private final InetSocketAddress address;
  private final List<RespConnection> connections = new ArrayList<>();
  private final ArrayDeque<RespExchange> waiting = new ArrayDeque<>();
  private int opening;
  private boolean retired;

  RespConnectionPool(RespConnectionManager manager, InetSocketAddress address) {
    this.manager = manager;
    this.address = address;
  }

  /**
   * Sends an exchange, has it wait for a connection that is being opened, or ends it as not sent.
   */
  void submit(RespExchange exchange) {
    boolean maySend = maySend(exchange) && !retired;
    RespConnection connection = maySend ? leastLoaded(exchange) : null;
    if (maySend && (connection == null || !connection.isIdle()) && mayConnect()) {
      opening++;
      manager.connect(this, address);
    }
    if (connection != null) {
      send(exchange, connection);
    } else if (maySend(exchange)
        && opening > 0
        && waiting.size() < manager.limits().maxWaitingPerWorker()) {
      waiting.add(exchange);
    } else {
      endLater(exchange, AttemptOutcome.NOT_SENT);
    }
  }

  private boolean maySend(RespExchange exchange) {
    return exchange.maySend(manager.nowNanos());
  }

  private void endLater(RespExchange exchange, AttemptOutcome outcome) {
    manager.post(core -> exchange.complete(core, outcome, null));
  }

  /**
   * Whether one more connection may be opened. Unresponsive connections do not count: each is
   * replaced, and closed once nothing is in flight on it.
   */
  private boolean mayConnect() {
    int responsive = opening;
    for (RespConnection connection : connections) {
      responsive += connection.unresponsive ? 0 : 1;
    }
    int max = manager.maxConnectionsPerWorker();
    return responsive < max && connections.size() + opening < 2 * max && manager.makeRoom();
  }

  /**
   * The idle connection that was least recently used, of this pool's and {@code other}, which may
   * be null.
   */
  RespConnection leastRecentlyUsed(RespConnection other) {
    RespConnection oldest = other;
    for (RespConnection connection : connections) {
      if (connection.isIdle()
          && connection.tcp.isOpen()
          && (oldest == null || connection.lastUsedNanos < oldest.lastUsedNanos)) {
        oldest = connection;
      }
    }
    return oldest;
  }

  /**
   * The connection with the fewest exchanges in flight of those that may take this one, or null.
   */
  private RespConnection leastLoaded(RespExchange exchange) {
    RespConnection best = null;
    for (RespConnection connection : connections) {
      if (mayTake(connection, exchange)
          && (best == null || connection.inFlight.size() < best.inFlight.size())) {
        best = connection;
      }
    }
    return best;
  }

  /**
   * Whether a connection may take an exchange. One with unwritten bytes may not: what waits behind
   * them would go out after its worker began to drain or its client left.
   */
  private boolean mayTake(RespConnection connection, RespExchange exchange) {
    return !connection.unresponsive
        && connection.tcp.isOpen()
        && connection.inFlight.size() < manager.limits().maxInFlightPerConnection()
        && connection.tcp.unsentBytes() == 0
        && !carriedEarlierAttempt(connection, exchange);
  }

  /**
   * Whether an earlier attempt of the same request was sent on this connection: both bear the
   * request's id, so a late reply to the earlier one would be taken for the later one's.
   */
  private static boolean carriedEarlierAttempt(RespConnection connection, RespExchange exchange) {
    if (exchange.request == null) {
      return false;
    }
    for (Attempt attempt : exchange.request.attempts()) {
      if (attempt.attachment() instanceof RespExchange other
          && other != exchange
          && other.connection() == connection) {
        return true;
      }
    }
    return false;
  }

  private void send(RespExchange exchange, RespConnection connection) {
    long nowNanos = manager.nowNanos();
    boolean sent =
        exchange.maySend(nowNanos)
            && connection.tcp.send(exchange.command(nowNanos, manager.diagnostics()));
    if (!sent) { // no byte of it went out
      endLater(exchange, AttemptOutcome.NOT_SENT);
      return;
    }
    exchange.sent(connection, nowNanos);
    connection.lastUsedNanos = exchange.sentNanos();
    if (exchange.id != null) {
      connection.inFlight.put(exchange.id, exchange);
    } else {
      endLater(exchange, AttemptOutcome.SUCCEEDED);
    }
  }

  /** A connection was opened; it may have been closed since. */
  void connectionOpened(RouterCore core, RespConnection connection) {
    opening--;
    if (retired || !connection.tcp.isOpen()) {
      connection.tcp.close(WorkerCloseReason.WORKER_GONE);
      manager.connectionEnded();
    } else {
      connections.add(connection);
    }
    placeWaiting(core, AttemptOutcome.NOT_SENT);
  }

  /** A connection could not be opened. */
  void connectFailed(RouterCore core) {
    opening--;
    manager.connectionEnded();
    placeWaiting(core, AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Sends what waits as far as connections allow. With no further connection being opened the rest
   * ends at once.
   */
  private void placeWaiting(RouterCore core, AttemptOutcome outcomeWithoutConnection) {
    for (int i = waiting.size(); i > 0; i--) {
      RespExchange exchange = waiting.poll();
      if (exchange.state() != RespExchange.State.WAITING) {
        continue;
      }
      RespConnection connection = leastLoaded(exchange);
      if (connection != null) {
        send(exchange, connection);
      } else if (opening > 0) {
        waiting.add(exchange);
      } else {
        exchange.complete(
            core, connections.isEmpty() ? outcomeWithoutConnection : AttemptOutcome.NOT_SENT, null);
      }
    }
  }

  /** A connection was closed; what was in flight on it may have been executed. */
  void connectionClosed(RouterCore core, RespConnection connection) {
    if (connections.remove(connection)) {
      manager.connectionEnded();
    }
    List<RespExchange> lost = List.copyOf(connection.inFlight.values());
    connection.inFlight.clear();
    lost.forEach(exchange -> exchange.complete(core, AttemptOutcome.CONNECTION_LOST, null));
  }

  /** A reply came; one whose id is not in flight on this very connection is ignored. */
  void replyReceived(RouterCore core, RespConnection connection, WorkerReply reply) {
    connection.unresponsive = false;
    connection.lastReplyNanos = manager.nowNanos();
    RespExchange exchange = connection.inFlight.get(reply.id());
    if (exchange == null) {
      return;
    }
    AttemptOutcome outcome = reply.outcome();
    if (outcome == null) {
      connection.tcp.close(WorkerCloseReason.UNKNOWN_STATUS);
      return;
    }
    connection.inFlight.remove(reply.id());
    connection.lastUsedNanos = connection.lastReplyNanos;
    exchange.complete(core, outcome, reply);
  }

  /** Ends an exchange whose reply is not wanted any more; tells what that proves. */
  AttemptOutcome abandon(RespExchange exchange) {
    RespExchange.State before = exchange.abandon();
    if (before == RespExchange.State.WAITING) {
      waiting.remove(exchange);
      return connections.isEmpty() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
    }
    RespConnection connection = exchange.connection();
    if (before == RespExchange.State.IN_FLIGHT
        && connection.inFlight.remove(exchange.id, exchange)) {
      abandonInFlight(exchange, connection);
    }
    return AttemptOutcome.TIMED_OUT;
  }

  private void abandonInFlight(RespExchange exchange, RespConnection connection) {
    boolean timedOut = manager.nowNanos() >= exchange.timeoutNanos;
    connection.unresponsive |= timedOut && connection.lastReplyNanos < exchange.sentNanos();
    if (connection.unresponsive && connection.isIdle()) {
      connection.tcp.close(
          WorkerCloseReason.UNRESPONSIVE); // which cancels everything that was sent on it
    } else if (exchange.request != null) {
      connection.tcp.send(RespCommand.cancel(exchange.id));
    }
  }

  /**
   * The worker takes nothing new: what may not go there any more ends at once, what is in flight
   * goes on.
   */
  void rejectWaiting() {
    for (int i = waiting.size(); i > 0; i--) {
      RespExchange exchange = waiting.poll();
      if (maySend(exchange)) {
        waiting.add(exchange);
      } else {
        endLater(exchange, AttemptOutcome.NOT_SENT);
      }
    }
  }

  /**
   * The worker is gone for good: what waits ends at once, connections are closed as they fall idle.
   */
  void retire() {
    retired = true;
    waiting.forEach(exchange -> endLater(exchange, AttemptOutcome.NOT_SENT));
    waiting.clear();
    sweep(0);
  }

  /**
   * Closes connections that were idle for so many nanoseconds; true where the pool can be
   * forgotten.
   */
  boolean sweep(long idleNanos) {
    long now = manager.nowNanos();
    for (RespConnection connection : connections) {
      if (connection.isIdle() && (retired || now - connection.lastUsedNanos >= idleNanos)) {
        connection.tcp.close(WorkerCloseReason.IDLE);
      }
    }
    return retired && connections.isEmpty() && opening == 0;
  }
}
