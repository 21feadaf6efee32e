package switchgap.router;

/**
 * What must hold whenever something is sent, answered or closed; each is named by its violation.
 */
public enum RouterInvariant {
  /** An attempt goes out for a request that has its answer. */
  ATTEMPT_AFTER_ANSWER,
  /** An attempt goes out for a client that was seen to have gone over 0.1 s ago. */
  ATTEMPT_FOR_DISCONNECTED_CLIENT,
  /** An attempt goes out to a worker that drains or is gone. */
  ATTEMPT_TO_DRAINING_WORKER,
  /** An attempt goes out after the request's deadline. */
  ATTEMPT_AFTER_DEADLINE,
  /** The timeout that a worker is given is longer than what the client has left. */
  TIMEOUT_PAST_DEADLINE,
  /** A non-idempotent request is retried although an attempt may have been executed. */
  RETRY_OF_NON_IDEMPOTENT,
  /** An attempt goes out after it ended. */
  ATTEMPT_SENT_TWICE,
  /** A load goes to a worker that drains or is gone. */
  LOAD_TO_DRAINING_WORKER,
  /** A request is answered a second time. */
  SECOND_ANSWER,
  /** A connection is closed with requests that were read and have no answer. */
  CLOSED_UNANSWERED,
  /** Health checks succeed before the router knows its workers. */
  HEALTHY_WITHOUT_WORKERS
}
