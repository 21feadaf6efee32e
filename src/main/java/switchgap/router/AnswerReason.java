package switchgap.router;

/** Why a request got its final answer. */
public enum AnswerReason implements EventReason {
  /** A worker served it. */
  SUCCEEDED,
  /** The policy rejected it. */
  REJECTED,
  /** The policy failed it. */
  FAILED,
  /** The router is shutting down. */
  SHUTDOWN,
  /** Its client revoked it after the deadline; an answer is still required. */
  REVOKED_LATE,
  /** The core did not accept it: its deadline has passed or too many functions are known. */
  NOT_ACCEPTED,
  /** Too many requests, or bytes of requests, are in flight at this router. */
  NO_CAPACITY,
  /** Too many requests are in flight on its connection. */
  TOO_MANY_OPEN,
  /** It does not fit into the event loop's queue. */
  QUEUE_FULL,
  /** It was read and is invalid. */
  UNUSABLE;

  /** The reason for a response that the policy decided on. */
  public static AnswerReason of(Response.Kind kind) {
    return switch (kind) {
      case SUCCEEDED -> SUCCEEDED;
      case REJECTED -> REJECTED;
      case FAILED -> FAILED;
    };
  }
}
