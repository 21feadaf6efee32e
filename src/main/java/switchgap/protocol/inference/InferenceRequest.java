package switchgap.protocol.inference;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import switchgap.router.Attempt;

/**
 * One HTTP request to a worker, as defined by the Open Inference Protocol or its model repository
 * extension.
 *
 * @param method HTTP method
 * @param path path on the worker
 * @param headers headers by name, without connection headers
 * @param body request body, empty if there is none
 */
record InferenceRequest(String method, String path, Map<String, String> headers, byte[] body) {
  /** Header in which a worker may echo the id of an attempt; received names are in lower case. */
  static final String RECEIVED_REQUEST_ID_HEADER = "x-request-id";

  private static final String GET = "GET";
  private static final String POST = "POST";
  private static final String SENT_REQUEST_ID_HEADER = "X-Request-Id";
  private static final String CONTENT_TYPE_HEADER = "Content-Type";
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final String JSON_TYPE = "application/json";
  private static final String MODELS_PATH = "/v2/models/";
  private static final String REPOSITORY_PATH = "/v2/repository/models/";
  private static final String HEALTH_PATH = "/v2/health/ready";
  private static final String INFER = "/infer";
  private static final String READY = "/ready";
  private static final String LOAD = "/load";
  private static final String UNLOAD = "/unload";
  private static final String UNLOAD_IDLE_BODY = "{\"parameters\":{\"idle_only\":true}}";
  private static final byte[] NO_BODY = {};

  /** Creates the request that executes an attempt. */
  static InferenceRequest infer(Attempt attempt) {
    Map<String, String> headers = new HashMap<>();
    headers.put(SENT_REQUEST_ID_HEADER, attempt.attemptId());
    if (attempt.request().contentType() != null) {
      headers.put(CONTENT_TYPE_HEADER, attempt.request().contentType());
    }
    if (attempt.request().idempotencyKey() != null) {
      headers.put(IDEMPOTENCY_KEY_HEADER, attempt.request().idempotencyKey());
    }
    return new InferenceRequest(
        POST,
        MODELS_PATH + encode(attempt.request().function()) + INFER,
        headers,
        attempt.request().body());
  }

  /** Creates the request that queries whether a function is loaded. */
  static InferenceRequest functionReady(String function) {
    return new InferenceRequest(GET, MODELS_PATH + encode(function) + READY, Map.of(), NO_BODY);
  }

  /** Creates the request that loads a number of replicas of a function. */
  static InferenceRequest load(String function, int replicas) {
    return json(
        REPOSITORY_PATH + encode(function) + LOAD,
        String.format(Locale.ROOT, "{\"parameters\":{\"copies\":%d}}", replicas));
  }

  /** Creates the request that unloads the idle replicas of a function. */
  static InferenceRequest unload(String function) {
    return json(REPOSITORY_PATH + encode(function) + UNLOAD, UNLOAD_IDLE_BODY);
  }

  /** Creates the request that checks whether a worker is ready; the response reports its load. */
  static InferenceRequest health() {
    return new InferenceRequest(GET, HEALTH_PATH, Map.of(), NO_BODY);
  }

  private static InferenceRequest json(String path, String body) {
    return new InferenceRequest(
        POST, path, Map.of(CONTENT_TYPE_HEADER, JSON_TYPE), body.getBytes(StandardCharsets.UTF_8));
  }

  private static String encode(String function) {
    return URLEncoder.encode(function, StandardCharsets.UTF_8);
  }
}
