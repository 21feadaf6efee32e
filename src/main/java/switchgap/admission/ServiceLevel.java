package switchgap.admission;

/**
 * The service levels, from full service down. Each also rejects what the levels before it reject.
 */
public enum ServiceLevel {
  /** All requests are admitted. */
  FULL,
  /** Idempotent requests of a tenant beyond its quota are rejected. For single tenants only. */
  SHARE,
  /** Idempotent requests of less than the top priority are rejected. */
  LEAST,
  /** Only request classes of the top priority are admitted. */
  MOST,
  /** Requests that were admitted go on; no new one is admitted. */
  HOLD
}
