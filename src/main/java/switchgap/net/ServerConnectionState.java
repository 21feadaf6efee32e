package switchgap.net;

import java.time.Duration;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * What an {@link HttpServer} knows of one connection. The body belongs to the connection's selector
 * thread; the other fields are read by the timer thread and by whoever responds, too.
 */
final class ServerConnectionState {
  private static final byte[] NO_BYTES = new byte[0];

  /** In place of a time, when no request is being received. */
  private static final long NONE = 0;

  /** When it opened or its last exchange ended. */
  private volatile long idleSinceNanos = System.nanoTime();

  private byte[] body = NO_BYTES;
  private int bodyBytes;
  private boolean discardingBody;
  private volatile long requestStartedNanos = NONE;
  private volatile HttpExchange pendingExchange;

  /** Takes note that bytes arrived: outside an exchange they begin a request. */
  void bytesArrived() {
    if (requestStartedNanos == NONE && pendingExchange == null) {
      requestStartedNanos = System.nanoTime();
    }
  }

  /** Whether the request that is being received, or the next one, has taken too long to come. */
  boolean isOverdue(Duration now, ConnectionLimits limits, StallHistory stalls) {
    long startedNanos = requestStartedNanos;
    if (startedNanos != NONE) {
      return exceeds(limits.receiveTimeout(), startedNanos, now, stalls);
    }
    return pendingExchange == null && exceeds(limits.idleTimeout(), idleSinceNanos, now, stalls);
  }

  private static boolean exceeds(
      Duration timeout, long startedNanos, Duration now, StallHistory stalls) {
    return stalls.elapsedExcludingStalls(Duration.ofNanos(startedNanos), now).compareTo(timeout)
        > 0;
  }

  int bodyBytes() {
    return bodyBytes;
  }

  /** Lets the rest of a request be received and ignored. */
  void discardBody() {
    discardingBody = true;
  }

  boolean isDiscardingBody() {
    return discardingBody;
  }

  /**
   * Takes in a part of the body.
   *
   * @param content the part, or null
   * @param contentLength the length that the request's head states, or one below 1 when it states
   *     none
   */
  void appendBody(Buffer content, long contentLength) {
    int length = content == null ? 0 : content.remaining();
    int total = bodyBytes + length;
    if (total > body.length) {
      int expected = contentLength > 0 ? (int) contentLength : 2 * bodyBytes;
      body = Arrays.copyOf(body, Math.max(total, expected));
    }
    if (length > 0) {
      content.get(body, bodyBytes, length);
      bodyBytes = total;
    }
  }

  /** Takes the received body out. */
  byte[] takeBody() {
    byte[] whole = bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes);
    body = NO_BYTES;
    bodyBytes = 0;
    return whole;
  }

  /** Takes note that a request is whole and waits for its response. */
  void exchangeStarted(HttpExchange exchange) {
    pendingExchange = exchange;
    requestStartedNanos = NONE;
  }

  void exchangeEnded() {
    idleSinceNanos = System.nanoTime();
    pendingExchange = null;
  }

  /** The exchange that has no response yet, or null. */
  HttpExchange pendingExchange() {
    return pendingExchange;
  }
}
