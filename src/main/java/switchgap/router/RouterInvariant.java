package switchgap.router;

/**
 * What must hold whenever something is sent, answered or closed. Each is named by its violation.
 */
public enum RouterInvariant {
  /** An attempt is sent for a request that has its answer. */
  ATTEMPT_AFTER_ANSWER,
  /** An attempt is sent although its client was seen to have disconnected over 0.1 s ago. */
  ATTEMPT_FOR_DISCONNECTED_CLIENT,
  /** An attempt is sent to a worker that is draining or gone. */
  ATTEMPT_TO_DRAINING_WORKER,
  /** An attempt is sent after the request's deadline. */
  ATTEMPT_AFTER_DEADLINE,
  /** The timeout sent to a worker ends after the client's deadline. */
  TIMEOUT_PAST_DEADLINE,
  /** A non-idempotent request is retried although an attempt may have been executed. */
  RETRY_OF_NON_IDEMPOTENT,
  /** An attempt is sent after it ended. */
  ATTEMPT_SENT_TWICE,
  /** A load command is sent to a worker that is draining or gone. */
  LOAD_TO_DRAINING_WORKER,
  /** A request is answered a second time. */
  SECOND_ANSWER,
  /** A connection is closed with requests that were read and have no answer. */
  CLOSED_UNANSWERED,
  /** Health checks succeed before the router knows its workers. */
  HEALTHY_WITHOUT_WORKERS
}
