package switchgap.policy.api;

/** The set of workers within which repeats of a request with an idempotency key are dropped. */
public enum DeduplicationScope {
  /** A repeat is dropped at any worker. */
  ALL,
  /** A repeat is dropped at workers of the same zone. */
  ZONE,
  /** A repeat is dropped at workers of the same cell of the same zone. */
  CELL
}
