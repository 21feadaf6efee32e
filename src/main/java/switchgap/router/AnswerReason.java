package switchgap.router;

/** The reason for a request's final answer. */
public enum AnswerReason implements EventReason {
  /** A worker served the request. */
  SUCCEEDED,
  /** The policy rejected the request. */
  REJECTED,
  /** The policy failed the request. */
  FAILED,
  /** The router is shutting down. */
  SHUTDOWN,
  /** The client revoked the request after its deadline; the protocol still requires an answer. */
  REVOKED_LATE,
  /**
   * The core did not accept the request: its deadline had passed or the limit of functions was
   * reached.
   */
  NOT_ACCEPTED,
  /** The router's limit of requests in flight, or of their bytes, was reached. */
  NO_CAPACITY,
  /** The limit of requests in flight on the request's connection was reached. */
  TOO_MANY_OPEN,
  /** The request was read while its idle connection was being closed. */
  CONNECTION_CLOSING,
  /** The request was read but is invalid. */
  UNUSABLE;

  /** Returns the reason that corresponds to a response of the policy. */
  public static AnswerReason of(Response.Kind kind) {
    return switch (kind) {
      case SUCCEEDED -> SUCCEEDED;
      case REJECTED -> REJECTED;
      case FAILED -> FAILED;
    };
  }
}
