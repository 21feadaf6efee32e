package switchgap.policy.api;

/** Whether requests of a class may be executed more than once. */
public enum Idempotency {
  /** May be repeated anywhere. */
  IDEMPOTENT,
  /** Carries a key by which workers drop a repeat, for a stated time and within a stated scope. */
  IDEMPOTENT_WITH_KEY,
  /** Must not be executed twice. */
  NON_IDEMPOTENT
}
