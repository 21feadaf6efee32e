package switchgap.testbed.emulator;

import java.util.List;
import java.util.Map;

/**
 * The load that emulated clients generate.
 *
 * @param requestClasses profiles, ordered by request class index
 * @param retries how clients time out and retry
 * @param rate total requests per second, for all tenants and routers
 * @param routerShares share of the requests for each router; the shares sum to 1
 * @param tenantShares share of the requests for each tenant; the shares sum to 1. The iteration
 *     order must be stable, since random draws of tenants depend on it
 * @param seed seed of all random draws
 */
public record ClientSettings(
    List<RequestClassProfile> requestClasses,
    ClientRetryPolicy retries,
    double rate,
    double[] routerShares,
    Map<String, Double> tenantShares,
    long seed) {}
