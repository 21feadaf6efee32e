package switchgap.protocol.invoke;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import switchgap.admission.ServiceLevel;
import switchgap.config.EnumWords;
import switchgap.net.HttpExchange;
import switchgap.router.Response;

/**
 * Writes the router's responses over HTTP. Safe from any thread; an exchange ignores all responses
 * after its first.
 */
final class ResponseWriter {
  static final String JSON = "application/json";
  static final int STATUS_OK = 200;
  private static final String SUCCEEDED_END = "finished";
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int MILLIS_PER_SECOND = 1000;
  private static final byte[] NO_BODY = {};

  private ResponseWriter() {}

  /** Writes a page for operators. */
  static void writePage(HttpExchange exchange, String mediaType, byte[] body) {
    exchange.respond(STATUS_OK, Map.of(HeaderNames.CONTENT_TYPE, mediaType), body);
  }

  /**
   * Writes the final response of a request.
   *
   * @param id the id that the router assigned to the request
   * @param clientRequestId the client's own id of the request, or null
   * @param shedBy the service level that rejected the request, or null
   */
  static void writeFinal(
      HttpExchange exchange,
      Response response,
      String id,
      String clientRequestId,
      ServiceLevel shedBy) {
    Map<String, String> headers = requestHeaders(id, clientRequestId);
    if (shedBy != null) {
      headers.put(HeaderNames.SERVICE_LEVEL, EnumWords.wordOf(shedBy));
    }
    switch (response.kind()) {
      case SUCCEEDED -> writeSuccess(exchange, response, headers);
      case REJECTED -> writeRejection(exchange, response.retryAfter(), headers, shedBy);
      default -> writeFailure(exchange, headers);
    }
  }

  private static void writeSuccess(
      HttpExchange exchange, Response response, Map<String, String> headers) {
    headers.putAll(response.headers());
    headers.put(HeaderNames.END, SUCCEEDED_END);
    exchange.respond(response.status(), headers, response.body());
  }

  private static void writeRejection(
      HttpExchange exchange,
      Duration retryAfter,
      Map<String, String> headers,
      ServiceLevel shedBy) {
    if (retryAfter != null) {
      long millis = retryAfter.toMillis();
      long secondsRoundedUp = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.put(HeaderNames.RETRY_AFTER, String.valueOf(secondsRoundedUp));
      headers.put(HeaderNames.RETRY_AFTER_MILLIS, String.valueOf(millis));
    }
    writeProblem(exchange, headers, ProblemDetails.rejected(shedBy, retryAfter));
  }

  private static void writeFailure(HttpExchange exchange, Map<String, String> headers) {
    writeProblem(exchange, headers, ProblemDetails.failed());
  }

  /** Writes the problem of a request that was not accepted, or of an invalid path. */
  static void writeProblem(HttpExchange exchange, ProblemDetails problem) {
    writeProblem(exchange, problem, null);
  }

  /** Writes a problem with the client's own id of the request, which may be null. */
  static void writeProblem(HttpExchange exchange, ProblemDetails problem, String clientRequestId) {
    writeProblem(exchange, requestHeaders(null, clientRequestId), problem);
  }

  private static void writeProblem(
      HttpExchange exchange, Map<String, String> headers, ProblemDetails problem) {
    if (problem.outcome() != null) {
      headers.put(HeaderNames.END, problem.outcome().end().wireName());
    }
    headers.put(HeaderNames.CONTENT_TYPE, ProblemDetails.MEDIA_TYPE);
    exchange.respond(problem.status(), headers, problem.toJson());
  }

  /**
   * Writes that a deferred request was accepted, with the path at which to poll for its response.
   */
  static void writeAccepted(HttpExchange exchange, String id, String clientRequestId) {
    Map<String, String> headers = locationHeaders(id, clientRequestId);
    headers.put(HeaderNames.PREFERENCE_APPLIED, RequestHeaders.DEFERRED_PREFERENCE);
    writePending(exchange, id, headers);
  }

  /** Writes that a deferred request has no response yet. */
  static void writePending(HttpExchange exchange, String id) {
    writePending(exchange, id, locationHeaders(id, null));
  }

  private static void writePending(HttpExchange exchange, String id, Map<String, String> headers) {
    headers.put(HeaderNames.CONTENT_TYPE, JSON);
    String state = "{\"call\":\"" + id + "\",\"state\":\"held\"}";
    exchange.respond(STATUS_ACCEPTED, headers, state.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes that a deferred request was cancelled by its client or its result deleted. */
  static void writeDeleted(HttpExchange exchange, String id) {
    exchange.respond(STATUS_NO_CONTENT, requestHeaders(id, null), NO_BODY);
  }

  private static Map<String, String> locationHeaders(String id, String clientRequestId) {
    Map<String, String> headers = requestHeaders(id, clientRequestId);
    headers.put(HeaderNames.LOCATION, ResourcePath.ofDeferredRequest(id));
    return headers;
  }

  private static Map<String, String> requestHeaders(String id, String clientRequestId) {
    Map<String, String> headers = new HashMap<>();
    if (id != null) {
      headers.put(HeaderNames.REQUEST_ID, id);
    }
    if (clientRequestId != null) {
      headers.put(HeaderNames.CLIENT_REQUEST_ID, clientRequestId);
    }
    return headers;
  }
}
