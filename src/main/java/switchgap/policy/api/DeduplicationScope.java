package switchgap.policy.api;

/** The workers among which repeats of a request with an idempotency key are dropped. */
public enum DeduplicationScope {
  /** All workers. */
  ALL,
  /** The workers of one zone. */
  ZONE,
  /** The workers of one cell of a zone. */
  CELL
}
