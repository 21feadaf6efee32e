package switchgap.protocol.invoke;

/** Names of the HTTP headers of the invoke API. */
final class HeaderNames {
  // Request headers
  static final String REQUEST_CLASS = "Switchgap-Workload";
  static final String TENANT = "Switchgap-Customer";

  /** Timeout of the request, in milliseconds. */
  static final String TIMEOUT = "Switchgap-Time-Limit";

  /** Deadline of the request, in milliseconds of Unix time. */
  static final String DEADLINE = "Switchgap-Deadline";

  /** The client's estimate of the execution time, in milliseconds. */
  static final String DURATION_HINT = "Switchgap-Cost-Hint";

  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String PREFER = "Prefer";

  // Headers of both requests and responses
  /** The client's own id of a request; the response echoes it. */
  static final String CLIENT_REQUEST_ID = "Switchgap-Call";

  static final String CONTENT_TYPE = "Content-Type";

  // Response headers
  /** The id that the router assigned to a request. */
  static final String REQUEST_ID = "Switchgap-Id";

  /** Outcome of a request: {@code finished}, or the wire name of a {@link ProblemType}. */
  static final String END = "Switchgap-End";

  /** The service level that rejected a request. */
  static final String SERVICE_LEVEL = "Switchgap-Level";

  /** Time after which a rejected request may be retried, in milliseconds. */
  static final String RETRY_AFTER_MILLIS = "Switchgap-Come-Back";

  static final String RETRY_AFTER = "Retry-After";
  static final String LOCATION = "Location";
  static final String PREFERENCE_APPLIED = "Preference-Applied";

  private HeaderNames() {}
}
