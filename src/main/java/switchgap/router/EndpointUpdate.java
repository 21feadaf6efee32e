package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.WorkerState;

/**
 * The state of one worker in an endpoint list.
 *
 * @param zone index of its zone in the settings
 * @param cell its cell within the zone
 * @param kind index of its kind in the settings; greater than the last index if the kind is unknown
 * @param capacity its capacity; 0 if not listed
 * @param startedAt start time of its process relative to the router's start (negative if earlier),
 *     or null if not listed; must be equal in all versions of the list for the same process
 */
public record EndpointUpdate(
    String name,
    String host,
    int port,
    WorkerState state,
    int zone,
    int cell,
    int kind,
    double capacity,
    Duration startedAt) {}
