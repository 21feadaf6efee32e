package switchgap.policy.api;

import java.time.Duration;

/**
 * One entry of an endpoint list: a worker.
 *
 * @param worker index of the worker, given by the caller
 * @param hash the worker's id, the same for all routers
 * @param zone index of the worker's zone in the settings
 * @param cell the worker's cell within the zone
 * @param kind index of the worker's kind in the settings; past the last one if the kind is unknown
 * @param capacity the worker's capacity, 0 if not reported
 * @param startedAt start of the worker's process since the router's start, null if long ago
 */
public record EndpointEntry(
    int worker,
    long hash,
    WorkerState state,
    int zone,
    int cell,
    int kind,
    double capacity,
    Duration startedAt) {}
