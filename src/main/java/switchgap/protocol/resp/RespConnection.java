package switchgap.protocol.resp;

import java.util.HashMap;
import java.util.Map;
import switchgap.net.TcpConnection;

/**
 * One connection to a worker with the exchanges that are in flight on it. Its decoder belongs to a
 * selector thread, everything else to the event loop.
 */
final class RespConnection {
  final TcpConnection tcp;
  final RespConnectionPool pool;
  final RespDecoder decoder;

  /** Exchanges that wait for their reply, by the id or tag that it will bear. */
  final Map<String, RespExchange> inFlight = new HashMap<>();

  /** A reply stayed out until its timeout, and nothing has come since. */
  boolean unresponsive;

  /** Nanoseconds of the loop's clock at which it last began or completed an exchange. */
  long lastUsedNanos;

  /** Nanoseconds of the loop's clock at which a reply last came. */
  long lastReplyNanos;

  RespConnection(TcpConnection tcp, RespConnectionPool pool, RespDecoder decoder, long nowNanos) {
    this.tcp = tcp;
    this.pool = pool;
    this.decoder = decoder;
    lastUsedNanos = nowNanos;
    lastReplyNanos = nowNanos;
  }

  boolean isIdle() {
    return inFlight.isEmpty();
  }
}
