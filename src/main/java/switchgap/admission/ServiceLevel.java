package switchgap.admission;

/**
 * The service levels, in descending order of service. Each level also rejects the requests that the
 * levels before it reject.
 */
public enum ServiceLevel {
  /** All requests are admitted. */
  FULL,
  /**
   * Idempotent requests of a tenant beyond its quota are rejected. Only used for single tenants.
   */
  SHARE,
  /** Idempotent requests below the top priority are rejected. */
  LEAST,
  /** Only request classes of the top priority are admitted. */
  MOST,
  /** No new request is admitted, except for exempt classes; admitted requests continue. */
  HOLD
}
