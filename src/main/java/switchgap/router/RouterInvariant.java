package switchgap.router;

/**
 * The invariants of the router's actions. Each constant is named after the violation of its
 * invariant.
 */
public enum RouterInvariant {
  /** An attempt is sent for a request that has been answered. */
  ATTEMPT_AFTER_ANSWER,
  /** An attempt is sent although the client's disconnect was detected more than 0.1 s ago. */
  ATTEMPT_FOR_DISCONNECTED_CLIENT,
  /** An attempt is sent to a worker that is draining or gone. */
  ATTEMPT_TO_DRAINING_WORKER,
  /** An attempt is sent after the request's deadline. */
  ATTEMPT_AFTER_DEADLINE,
  /** The timeout sent to a worker ends more than 0.15 s after the client's deadline. */
  TIMEOUT_PAST_DEADLINE,
  /** A non-idempotent request is retried although an earlier attempt may have been executed. */
  RETRY_OF_NON_IDEMPOTENT,
  /**
   * A request with an idempotency key is retried later than workers drop repeats, although an
   * earlier attempt may have been executed.
   */
  RETRY_AFTER_DEDUPLICATION_WINDOW,
  /** An attempt is sent although it has ended. */
  ATTEMPT_SENT_TWICE,
  /** A load command is sent to a worker that is draining or gone. */
  LOAD_TO_DRAINING_WORKER,
  /** A request is answered a second time. */
  SECOND_ANSWER,
  /** The router closes a connection with requests that were read and not answered. */
  CLOSED_UNANSWERED,
  /** Health checks succeed before the router has received an endpoint list. */
  HEALTHY_WITHOUT_WORKERS
}
