package switchgap.protocol.resp;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.net.CloseReason;
import switchgap.net.TcpConnection;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;

/**
 * A connection to a worker and the exchanges in flight on it. {@link #decode} runs on the
 * connection's selector thread and {@link #pool} on any thread; all other methods must be called on
 * the event loop.
 */
final class RespConnection {
  private final TcpConnection tcp;
  private final RespConnectionPool pool;
  private final RespDecoder decoder;

  /** Exchanges whose reply has not arrived, by the id or tag that the reply will contain. */
  private final Map<String, RespExchange> inFlightByReplyId = new HashMap<>();

  /** Whether a reply missed its deadline and no reply has arrived since its command was sent. */
  private boolean unresponsive;

  /** Time at which an exchange was last sent or completed, in nanoseconds of the router's clock. */
  private long lastUsedNanos;

  /** Time at which a reply last arrived, in nanoseconds of the router's clock. */
  private long lastReplyNanos;

  RespConnection(TcpConnection tcp, RespConnectionPool pool, RespDecoder decoder, long nowNanos) {
    this.tcp = tcp;
    this.pool = pool;
    this.decoder = decoder;
    lastUsedNanos = nowNanos;
    lastReplyNanos = nowNanos;
  }

  /** The pool that this connection belongs to. Can be called on any thread. */
  RespConnectionPool pool() {
    return pool;
  }

  /** Decodes received bytes. Must be called on the connection's selector thread. */
  void decode(ByteBuffer bytes, RespDecoder.ArrayHandler handler) throws MalformedReplyException {
    decoder.decode(bytes, handler);
  }

  boolean isOpen() {
    return tcp.isOpen();
  }

  /** Whether no exchange is in flight on this connection. */
  boolean isIdle() {
    return inFlightByReplyId.isEmpty();
  }

  boolean isResponsive() {
    return !unresponsive;
  }

  int inFlightCount() {
    return inFlightByReplyId.size();
  }

  /** Time at which an exchange was last sent or completed, in nanoseconds of the router's clock. */
  long lastUsedNanos() {
    return lastUsedNanos;
  }

  /**
   * Whether the exchange may be sent on this connection. A connection with unwritten bytes is
   * excluded: a command that is queued behind them might be written only after the worker has
   * started draining or the client has disconnected.
   */
  boolean canCarry(RespExchange exchange, int maxInFlight) {
    return !unresponsive
        && tcp.isOpen()
        && inFlightByReplyId.size() < maxInFlight
        && tcp.unsentBytes() == 0
        && !exchange.hasEarlierAttemptOn(this);
  }

  /**
   * Sends an exchange if it may still be sent.
   *
   * @return false if no byte of it was sent
   */
  boolean send(RespExchange exchange, long nowNanos, RouterDiagnostics diagnostics) {
    boolean sent =
        exchange.maySend(nowNanos) && tcp.send(exchange.encodeCommand(nowNanos, diagnostics));
    if (!sent) {
      return false;
    }
    exchange.markSent(this, nowNanos);
    lastUsedNanos = nowNanos;
    if (exchange.replyId() != null) {
      inFlightByReplyId.put(exchange.replyId(), exchange);
    }
    return true;
  }

  /**
   * Completes the exchange that a reply belongs to. A reply whose id is not in flight on this
   * connection is ignored.
   */
  void replyReceived(RouterCore core, WorkerReply reply, long nowNanos) {
    unresponsive = false;
    lastReplyNanos = nowNanos;
    RespExchange exchange = inFlightByReplyId.get(reply.id());
    if (exchange == null) {
      return;
    }
    AttemptOutcome outcome = reply.outcome();
    if (outcome == null) {
      close(WorkerCloseReason.UNKNOWN_STATUS);
      return;
    }
    inFlightByReplyId.remove(reply.id());
    lastUsedNanos = nowNanos;
    exchange.complete(core, outcome, reply);
  }

  /**
   * Stops waiting for the reply to an exchange that was abandoned in flight. An unresponsive
   * connection is closed once nothing is in flight on it, which cancels everything that was sent on
   * it. Otherwise the worker is sent a command to cancel the attempt.
   */
  void abandon(RespExchange exchange, long nowNanos) {
    if (!inFlightByReplyId.remove(exchange.replyId(), exchange)) {
      return;
    }
    unresponsive |= exchange.isOverdue(nowNanos) && lastReplyNanos < exchange.sentNanos();
    if (unresponsive && isIdle()) {
      close(WorkerCloseReason.UNRESPONSIVE);
    } else if (exchange.isAttempt()) {
      tcp.send(RespCommand.cancel(exchange.replyId()));
    }
  }

  /**
   * Ends all exchanges in flight after the connection was closed. Each of them may have been
   * executed.
   */
  void endExchangesInFlight(RouterCore core) {
    List<RespExchange> lostExchanges = List.copyOf(inFlightByReplyId.values());
    inFlightByReplyId.clear();
    lostExchanges.forEach(
        exchange -> exchange.complete(core, AttemptOutcome.CONNECTION_LOST, null));
  }

  /** Closes the connection unless it is already closed. The pool is notified by an event. */
  void close(CloseReason reason) {
    tcp.close(reason);
  }
}
