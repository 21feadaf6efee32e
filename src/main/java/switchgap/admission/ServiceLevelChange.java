package switchgap.admission;

import java.time.Duration;

/**
 * A change of service level, with the figures at that time.
 *
 * @param at when
 * @param tenant index of the tenant that it applies to, -1 for all requests
 * @param from the level before
 * @param to the level after
 * @param condition what was met, as shown to operators
 * @param pressure weighted share of the admitted requests that found no capacity
 * @param samples number of requests that the pressure was measured on; older ones count less
 */
public record ServiceLevelChange(
    Duration at,
    int tenant,
    ServiceLevel from,
    ServiceLevel to,
    String condition,
    double pressure,
    double samples) {}
