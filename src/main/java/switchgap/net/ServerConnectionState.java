package switchgap.net;

import java.time.Duration;

/**
 * The state of one connection of an {@link HttpServer}: idle, receiving a request, or with an
 * exchange that is pending. The body belongs to the connection's selector thread; the other fields
 * are also read by the timer thread and by whoever responds.
 */
final class ServerConnectionState {
  /** In place of a time: no request is being received. */
  private static final long NONE = 0;

  private final RequestBodyBuffer body = new RequestBodyBuffer();
  private boolean discardingBody;

  /** The {@link System#nanoTime} at which it opened or its last exchange ended. */
  private volatile long idleSinceNanos = System.nanoTime();

  private volatile long requestStartedNanos = NONE;
  private volatile HttpExchange pendingExchange;

  /** Bytes arrived: outside an exchange they start a request. */
  void bytesArrived() {
    if (requestStartedNanos == NONE && pendingExchange == null) {
      requestStartedNanos = System.nanoTime();
    }
  }

  /** Whether the request that is being received, or the next one, exceeds its timeout. */
  boolean isOverdue(Duration now, HttpServerLimits limits, StallHistory stalls) {
    long startedNanos = requestStartedNanos;
    if (startedNanos != NONE) {
      return exceeds(limits.receiveTimeout(), startedNanos, now, stalls);
    }
    return pendingExchange == null && exceeds(limits.idleTimeout(), idleSinceNanos, now, stalls);
  }

  private static boolean exceeds(
      Duration timeout, long startedNanos, Duration now, StallHistory stalls) {
    Duration elapsed = stalls.elapsedExcludingStalls(Duration.ofNanos(startedNanos), now);
    return elapsed.compareTo(timeout) > 0;
  }

  /** The body of the request that is being received. */
  RequestBodyBuffer body() {
    return body;
  }

  /** The rest of the request is received and ignored. */
  void discardBody() {
    discardingBody = true;
  }

  boolean isDiscardingBody() {
    return discardingBody;
  }

  /** A request is complete and waits for its response. */
  void exchangeStarted(HttpExchange exchange) {
    pendingExchange = exchange;
    requestStartedNanos = NONE;
  }

  /** The exchange has its response, or its client disconnected. */
  void exchangeEnded() {
    idleSinceNanos = System.nanoTime();
    pendingExchange = null;
  }

  /** The exchange that has no response yet, or null. */
  HttpExchange pendingExchange() {
    return pendingExchange;
  }
}
