package switchgap.policy.api;

import java.time.Duration;

/**
 * One worker in an endpoint list.
 *
 * @param worker index of the worker, assigned by the caller
 * @param hash id of the worker, identical at all routers
 * @param state state of the worker in the list
 * @param zone index of the worker's zone in the settings
 * @param cell number of the worker's cell within its zone
 * @param kind index of the worker's kind in the settings; beyond the last one if the kind is
 *     unknown
 * @param capacity capacity of the worker, 0 if not reported
 * @param startedAt when the worker's process started, as time since the router's start; null if not
 *     listed, for example because that was long ago; the worker is then treated as warmed up
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
