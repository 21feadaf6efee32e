package switchgap.protocol.invoke;

/** The types of problems in responses of the API, with their HTTP status and name on the wire. */
enum ProblemType {
  /** There is no resource at this path. */
  UNKNOWN_PATH(404, "unknown-path"),
  /** The resource does not support this method. */
  METHOD_NOT_ALLOWED(405, "method-not-allowed"),
  /** A header can't be parsed, is too long or is out of range. */
  MALFORMED_HEADER(400, "malformed-header"),
  /** The function is not in the settings. */
  UNKNOWN_FUNCTION(404, "unknown-function"),
  /** The request class is not in the settings. */
  UNKNOWN_REQUEST_CLASS(400, "unknown-workload"),
  /** The tenant is not in the settings. */
  UNKNOWN_TENANT(400, "unknown-customer"),
  /** The timeout is not above zero, or the deadline had passed when the request was read. */
  DEADLINE_EXCEEDED(400, "limit-past"),
  /** The request class requires an idempotency key, and the request has none. */
  IDEMPOTENCY_KEY_MISSING(400, "fingerprint-missing"),
  /** The request was not accepted: a limit is reached, or the router is shutting down. */
  NOT_ACCEPTED(503, "not-taken"),
  /** The request was rejected without having been executed; a retry is safe. */
  REJECTED(503, "pushed-back"),
  /** The request failed and may have been executed. */
  FAILED(504, "killed"),
  /** The router never assigned this id to a deferred request. */
  UNKNOWN_REQUEST(404, "unknown-call"),
  /** The result of a deferred request is no longer stored. */
  RESULT_GONE(410, "result-gone"),
  /** There are no service levels, since admission control is off at this router. */
  NO_SERVICE_LEVELS(404, "no-levels"),
  /** A request to pin a service level names no level, or its duration is out of range. */
  MALFORMED_PIN(400, "malformed-pin");

  private final int status;
  private final String wireName;

  ProblemType(int status, String wireName) {
    this.status = status;
    this.wireName = wireName;
  }

  int status() {
    return status;
  }

  /**
   * The name on the wire: part of the type's URN, and value of the header {@code Switchgap-End}.
   */
  String wireName() {
    return wireName;
  }
}
