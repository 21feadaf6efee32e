package switchgap.protocol.thrift;

import java.util.Map;
import switchgap.policy.api.RouterSettings;

/**
 * The router's settings, with the indices of the names that requests may contain.
 *
 * @param settings the router's settings
 * @param requestClasses index of each request class by its name
 * @param tenants index of each tenant by its name; empty if requests have no tenant
 */
record NameDirectory(
    RouterSettings settings, Map<String, Integer> requestClasses, Map<String, Integer> tenants) {}
