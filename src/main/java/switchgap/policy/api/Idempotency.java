package switchgap.policy.api;

/** Whether requests of a class may be executed more than once. */
public enum Idempotency {
  /** May be executed repeatedly at any worker. */
  IDEMPOTENT,
  /**
   * Has an idempotency key by which workers drop repeats during the deduplication window and within
   * the deduplication scope.
   */
  IDEMPOTENT_WITH_KEY,
  /** Must not be executed more than once. */
  NON_IDEMPOTENT
}
