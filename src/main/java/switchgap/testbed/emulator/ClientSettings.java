package switchgap.testbed.emulator;

import java.util.List;
import java.util.Map;

/**
 * The load that emulated clients generate.
 *
 * @param requestClasses profiles by index of the request class
 * @param retries how clients time out and retry
 * @param rate requests per second over all tenants and routers
 * @param routerShares share of the requests by router; sums to one
 * @param tenantShares share of the requests by tenant; sums to one, iterated in this order
 * @param seed seed of all random draws
 */
public record ClientSettings(
    List<RequestClassProfile> requestClasses,
    RetryPolicy retries,
    double rate,
    double[] routerShares,
    Map<String, Double> tenantShares,
    long seed) {}
