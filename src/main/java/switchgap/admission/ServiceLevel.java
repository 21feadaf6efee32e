package switchgap.admission;

/**
 * The service levels, in descending order of service. All levels except {@link #SHARE} apply to all
 * requests; each of these also rejects the requests that the ones before it reject. No level
 * rejects requests of exempt classes.
 */
public enum ServiceLevel {
  /** All requests are admitted. */
  FULL,
  /**
   * Idempotent requests of a tenant over its quota are rejected. Applies to single tenants only.
   */
  SHARE,
  /** Idempotent requests below the top priority are rejected. */
  LEAST,
  /** Only request classes of the top priority are admitted. */
  MOST,
  /** No new request is admitted, except for exempt classes; admitted requests continue. */
  HOLD
}
