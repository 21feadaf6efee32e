package switchgap.router;

import java.time.Duration;
import java.util.Map;

/**
 * A final response.
 *
 * @param status the worker's status where it succeeded, else 0
 * @param headers the worker's headers where it succeeded
 * @param body the worker's body where it succeeded
 * @param retryAfter where it was rejected, when to retry; null for no advice
 */
public record Response(
    Kind kind, int status, Map<String, String> headers, byte[] body, Duration retryAfter) {
  /** The three ways in which a request may end with a response. */
  public enum Kind {
    /** A worker's response is forwarded. */
    SUCCEEDED,
    /** A retry is harmless. */
    REJECTED,
    /** The request may have been executed; a retry is not harmless. */
    FAILED
  }

  private static final byte[] NO_BODY = {};

  /** A rejection; {@code retryAfter} is null for no advice. */
  public static Response rejected(Duration retryAfter) {
    return new Response(Kind.REJECTED, 0, Map.of(), NO_BODY, retryAfter);
  }

  /** A failure. */
  public static Response failed() {
    return new Response(Kind.FAILED, 0, Map.of(), NO_BODY, null);
  }

  /** A worker's response. */
  public static Response succeeded(int status, Map<String, String> headers, byte[] body) {
    return new Response(Kind.SUCCEEDED, status, headers, body, null);
  }
}
