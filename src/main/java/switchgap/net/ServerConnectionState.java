package switchgap.net;

import java.time.Duration;

/**
 * The state of one connection of an {@link HttpServer}: idle, receiving a request, or with a
 * pending exchange. The body and the scanner are used only on the connection's selector thread. The
 * volatile fields are also used by the timer thread and by the threads that respond.
 */
final class ServerConnectionState {
  /** Marks that no request is being received. */
  private static final long NOT_STARTED = 0;

  private final RequestBodyBuffer body = new RequestBodyBuffer();
  private final RequestMethodScanner methodScanner = new RequestMethodScanner();
  private boolean discardingBody;

  /** The {@link System#nanoTime} at which the connection opened or its last exchange ended. */
  private volatile long idleSinceNanos = System.nanoTime();

  private volatile long requestStartedNanos = NOT_STARTED;
  private volatile HttpExchange pendingExchange;

  /**
   * Records that bytes arrived. They start a request unless an exchange is pending or a request is
   * being received.
   */
  void bytesArrived() {
    if (requestStartedNanos == NOT_STARTED && pendingExchange == null) {
      requestStartedNanos = System.nanoTime();
    }
  }

  /**
   * Whether the request that is being received exceeds the receive timeout, or the wait for the
   * next request exceeds the idle timeout.
   */
  boolean isOverdue(Duration now, HttpServerLimits limits, StallHistory stalls) {
    long startedNanos = requestStartedNanos;
    if (startedNanos != NOT_STARTED) {
      return exceedsTimeout(limits.receiveTimeout(), startedNanos, now, stalls);
    }
    return pendingExchange == null
        && exceedsTimeout(limits.idleTimeout(), idleSinceNanos, now, stalls);
  }

  private static boolean exceedsTimeout(
      Duration timeout, long startedNanos, Duration now, StallHistory stalls) {
    Duration elapsed = stalls.elapsedExcludingStalls(Duration.ofNanos(startedNanos), now);
    return elapsed.compareTo(timeout) > 0;
  }

  /** The body of the request that is being received. */
  RequestBodyBuffer body() {
    return body;
  }

  /** Scans for the method of the request that is being received. */
  RequestMethodScanner methodScanner() {
    return methodScanner;
  }

  /** Ignores the rest of the request that is being received. */
  void discardBody() {
    discardingBody = true;
  }

  boolean isDiscardingBody() {
    return discardingBody;
  }

  /** Records that a request is complete and waits for its response. */
  void exchangeStarted(HttpExchange exchange) {
    pendingExchange = exchange;
    requestStartedNanos = NOT_STARTED;
    methodScanner.reset();
  }

  /** Records that the exchange has its response or that its client disconnected. */
  void exchangeEnded() {
    idleSinceNanos = System.nanoTime();
    pendingExchange = null;
  }

  /** The exchange without a response, or null if there is none. */
  HttpExchange pendingExchange() {
    return pendingExchange;
  }
}
