package switchgap.policy.api;

/** Whether requests of a class may be executed more than once. */
public enum Idempotency {
  /** May be repeated anywhere. */
  IDEMPOTENT,
  /**
   * Carries an idempotency key by which workers drop repeats, for the deduplication window and
   * within the deduplication scope.
   */
  IDEMPOTENT_WITH_KEY,
  /** Must not be executed twice. */
  NON_IDEMPOTENT
}
