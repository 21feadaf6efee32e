package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.WorkerState;

/**
 * One worker of an endpoint list.
 *
 * @param zone index of its zone in the settings
 * @param cell its cell within the zone
 * @param kind index of its kind in the settings; past them all where the kind is unknown
 * @param capacity its size, 0 where it is not reported
 * @param startedAt start of its process since the router's start (below zero before it), null where
 *     it is not told; the same process must have the same value in each version
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
