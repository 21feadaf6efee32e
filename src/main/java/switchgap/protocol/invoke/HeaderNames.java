package switchgap.protocol.invoke;

/** Names of the HTTP headers of the invoke API. */
final class HeaderNames {
  // Requests: what is invoked, for whom, until when.
  static final String REQUEST_CLASS = "Switchgap-Workload";
  static final String TENANT = "Switchgap-Customer";

  /** Timeout in milliseconds. */
  static final String TIMEOUT = "Switchgap-Time-Limit";

  /** Deadline in milliseconds of wall time. */
  static final String DEADLINE = "Switchgap-Deadline";

  /** The client's estimate of the duration, in milliseconds. */
  static final String DURATION_HINT = "Switchgap-Cost-Hint";

  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String PREFER = "Prefer";

  // Requests and responses.
  /** The client's own id of a request, which its responses echo. */
  static final String CLIENT_REQUEST_ID = "Switchgap-Call";

  static final String CONTENT_TYPE = "Content-Type";

  // Responses.
  /** The router's id of a request. */
  static final String REQUEST_ID = "Switchgap-Id";

  /** How a request ended. */
  static final String END = "Switchgap-End";

  /** The service level that rejected a request. */
  static final String SERVICE_LEVEL = "Switchgap-Level";

  /** When a rejected client may retry, in milliseconds. */
  static final String RETRY_AFTER_MILLIS = "Switchgap-Come-Back";

  static final String RETRY_AFTER = "Retry-After";
  static final String LOCATION = "Location";
  static final String PREFERENCE_APPLIED = "Preference-Applied";

  private HeaderNames() {}
}
