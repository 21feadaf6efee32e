package switchgap.admission;

import java.time.Duration;

/**
 * A change of service level, with the measurements at that time.
 *
 * @param time time of the change since the router's start
 * @param tenant index of the affected tenant, or {@link #ALL_TENANTS}
 * @param previous the level before
 * @param current the level after
 * @param condition the condition that caused the change, as shown to operators
 * @param pressure weighted fraction of the admitted requests that found no capacity
 * @param samples number of requests on which the pressure was measured; older requests count less
 */
public record ServiceLevelChange(
    Duration time,
    int tenant,
    ServiceLevel previous,
    ServiceLevel current,
    String condition,
    double pressure,
    double samples) {
  /** The tenant index of a change that applies to all requests. */
  public static final int ALL_TENANTS = -1;

  /** Whether the change applies to all requests and not to those of a single tenant. */
  public boolean appliesToAll() {
    return tenant == ALL_TENANTS;
  }
}
