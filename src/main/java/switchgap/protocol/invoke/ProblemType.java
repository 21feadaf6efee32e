package switchgap.protocol.invoke;

/** Every type of problem that the API responds with: its HTTP status and its word on the wire. */
enum ProblemType {
  /** No resource at this path. */
  UNKNOWN_PATH(404, "unknown-path"),
  /** The resource doesn't know this method. */
  METHOD_NOT_ALLOWED(405, "method-not-allowed"),
  /** A header that can't be parsed, is too long or out of range. */
  MALFORMED_HEADER(400, "malformed-header"),
  /** The function is not in the settings. */
  UNKNOWN_FUNCTION(404, "unknown-function"),
  /** The request class is not in the settings. */
  UNKNOWN_REQUEST_CLASS(400, "unknown-workload"),
  /** The tenant is not in the settings. */
  UNKNOWN_TENANT(400, "unknown-customer"),
  /** The deadline has passed already. */
  DEADLINE_EXCEEDED(400, "limit-past"),
  /** The request class needs an idempotency key. */
  IDEMPOTENCY_KEY_MISSING(400, "fingerprint-missing"),
  /** The request was not accepted: a bound is reached, or the router is stopping. */
  NOT_ACCEPTED(503, "not-taken"),
  /** The request was rejected; a retry is harmless. */
  REJECTED(503, "pushed-back"),
  /** The request failed; nothing is promised about its effect. */
  FAILED(504, "killed"),
  /** The id was never issued for a deferred request. */
  UNKNOWN_REQUEST(404, "unknown-call"),
  /** The result of a deferred request is no longer stored. */
  RESULT_GONE(410, "result-gone"),
  /** Admission control is off at this router. */
  NO_SERVICE_LEVELS(404, "no-levels"),
  /** A pin that names no level, or a duration out of range. */
  MALFORMED_PIN(400, "malformed-pin");

  private final int status;
  private final String word;

  ProblemType(int status, String word) {
    this.status = status;
    this.word = word;
  }

  int status() {
    return status;
  }

  /** The word on the wire, in the type's URN and in the header {@code Switchgap-End}. */
  String word() {
    return word;
  }
}
