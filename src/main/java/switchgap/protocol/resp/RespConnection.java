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
 * One connection to a worker with the exchanges in flight on it. {@link #decode} belongs to a
 * selector thread, every other method to the event loop.
 */
final class RespConnection {
  private final TcpConnection tcp;
  private final RespConnectionPool pool;
  private final RespDecoder decoder;

  /** Exchanges whose reply has not arrived, by the id or tag that the reply bears. */
  private final Map<String, RespExchange> inFlight = new HashMap<>();

  /** Whether a reply was overdue at its deadline and nothing has arrived since. */
  private boolean unresponsive;

  /** Nanoseconds of the loop's clock at which an exchange was last sent or completed. */
  private long lastUsedNanos;

  /** Nanoseconds of the loop's clock at which a reply last arrived. */
  private long lastReplyNanos;

  RespConnection(TcpConnection tcp, RespConnectionPool pool, RespDecoder decoder, long nowNanos) {
    this.tcp = tcp;
    this.pool = pool;
    this.decoder = decoder;
    lastUsedNanos = nowNanos;
    lastReplyNanos = nowNanos;
  }

  /** The pool that it belongs to. Any thread. */
  RespConnectionPool pool() {
    return pool;
  }

  /** Decodes bytes that were received. On the connection's selector thread. */
  void decode(ByteBuffer bytes, RespDecoder.ArrayHandler handler) throws MalformedReplyException {
    decoder.decode(bytes, handler);
  }

  boolean isOpen() {
    return tcp.isOpen();
  }

  /** Whether no exchange is in flight on it. */
  boolean isIdle() {
    return inFlight.isEmpty();
  }

  boolean isResponsive() {
    return !unresponsive;
  }

  int inFlightCount() {
    return inFlight.size();
  }

  /** Nanoseconds of the loop's clock at which an exchange was last sent or completed. */
  long lastUsedNanos() {
    return lastUsedNanos;
  }

  /**
   * Whether an exchange may be sent on it. Not where bytes are unwritten: what queues behind them
   * would go out after its worker has started draining or its client has left.
   */
  boolean mayCarry(RespExchange exchange, int maxInFlight) {
    return !unresponsive
        && tcp.isOpen()
        && inFlight.size() < maxInFlight
        && tcp.unsentBytes() == 0
        && !exchange.hasEarlierAttemptOn(this);
  }

  /**
   * Sends an exchange, if it may still be sent.
   *
   * @return false where no byte of it was sent
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
      inFlight.put(exchange.replyId(), exchange);
    }
    return true;
  }

  /** A reply arrived; one whose id is not in flight on this very connection is ignored. */
  void replyReceived(RouterCore core, WorkerReply reply, long nowNanos) {
    unresponsive = false;
    lastReplyNanos = nowNanos;
    RespExchange exchange = inFlight.get(reply.id());
    if (exchange == null) {
      return;
    }
    AttemptOutcome outcome = reply.outcome();
    if (outcome == null) {
      close(WorkerCloseReason.UNKNOWN_STATUS);
      return;
    }
    inFlight.remove(reply.id());
    lastUsedNanos = nowNanos;
    exchange.complete(core, outcome, reply);
  }

  /**
   * Stops waiting for the reply to an exchange that was abandoned in flight. A connection that has
   * become unresponsive is closed once nothing is in flight on it, which cancels all that was sent
   * on it; otherwise the worker is asked to cancel the attempt.
   */
  void abandon(RespExchange exchange, long nowNanos) {
    if (!inFlight.remove(exchange.replyId(), exchange)) {
      return;
    }
    unresponsive |= exchange.isOverdue(nowNanos) && lastReplyNanos < exchange.sentNanos();
    if (unresponsive && isIdle()) {
      close(WorkerCloseReason.UNRESPONSIVE);
    } else if (exchange.isAttempt()) {
      tcp.send(RespCommand.cancel(exchange.replyId()));
    }
  }

  /** It was closed: all exchanges in flight on it end, each of which may have been executed. */
  void closed(RouterCore core) {
    List<RespExchange> lost = List.copyOf(inFlight.values());
    inFlight.clear();
    lost.forEach(exchange -> exchange.complete(core, AttemptOutcome.CONNECTION_LOST, null));
  }

  /** Closes it, unless it is closed already; the pool is notified by an event. */
  void close(CloseReason reason) {
    tcp.close(reason);
  }
}
