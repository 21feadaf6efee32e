package switchgap.protocol.thrift;

import java.util.Map;
import switchgap.policy.api.RouterSettings;

/**
 * Resolves the names in a request by the operators' settings.
 *
 * @param settings the router's settings
 * @param requestClasses index of each request class by its name
 * @param tenants index of each tenant by its name; empty if requests have no tenant
 */
record NameDirectory(
    RouterSettings settings, Map<String, Integer> requestClasses, Map<String, Integer> tenants) {}
