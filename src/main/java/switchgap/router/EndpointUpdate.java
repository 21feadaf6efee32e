package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.WorkerState;

/**
 * One worker of an endpoint list.
 *
 * @param zone index of its zone in the settings
 * @param cell its cell within the zone
 * @param kind index of its kind in the settings; beyond the last one where the kind is unknown
 * @param capacity its capacity, 0 where it is not listed
 * @param startedAt start of its process since the router's start (below zero before it), null where
 *     it is not listed; must be the same in each version for the same process
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
