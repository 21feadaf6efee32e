package switchgap.admission;

import java.time.Duration;

/**
 * A change of service level, with the figures at that time.
 *
 * @param time since the router's start
 * @param tenant index of the tenant that it applies to, or {@link #ALL_TENANTS}
 * @param previous the level before
 * @param current the level after
 * @param condition what was met, as shown to operators
 * @param pressure weighted fraction of the admitted requests that found no capacity
 * @param samples number of requests that the pressure was measured on; older ones count less
 */
public record ServiceLevelChange(
    Duration time,
    int tenant,
    ServiceLevel previous,
    ServiceLevel current,
    String condition,
    double pressure,
    double samples) {
  /** The tenant of a change that applies to all requests. */
  public static final int ALL_TENANTS = -1;

  /** Whether it applies to all requests, not to a single tenant's. */
  public boolean appliesToAll() {
    return tenant == ALL_TENANTS;
  }
}
