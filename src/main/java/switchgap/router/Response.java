package switchgap.router;

import java.time.Duration;
import java.util.Map;

/**
 * The final response to a request.
 *
 * @param status the worker's status for SUCCEEDED, otherwise 0
 * @param headers the worker's headers for SUCCEEDED, otherwise empty
 * @param body the worker's body for SUCCEEDED, otherwise empty
 * @param retryAfter for REJECTED, the delay after which the client may retry; null for no advice
 */
public record Response(
    Kind kind, int status, Map<String, String> headers, byte[] body, Duration retryAfter) {
  /** The outcome that a response reports. */
  public enum Kind {
    /** A worker executed the request, and its response is forwarded. */
    SUCCEEDED,
    /** The request was not executed; a retry is safe. */
    REJECTED,
    /** The request may have been executed; a retry may execute it twice. */
    FAILED
  }

  private static final byte[] NO_BODY = {};

  /** Returns a rejection; {@code retryAfter} is null for no advice. */
  public static Response rejected(Duration retryAfter) {
    return new Response(Kind.REJECTED, 0, Map.of(), NO_BODY, retryAfter);
  }

  /** Returns a failure, without status and body. */
  public static Response failed() {
    return new Response(Kind.FAILED, 0, Map.of(), NO_BODY, null);
  }

  /** Returns a worker's response. */
  public static Response succeeded(int status, Map<String, String> headers, byte[] body) {
    return new Response(Kind.SUCCEEDED, status, headers, body, null);
  }
}
