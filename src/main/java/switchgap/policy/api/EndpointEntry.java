package switchgap.policy.api;

import java.time.Duration;

/**
 * One worker of an endpoint list.
 *
 * @param worker index of the worker, given by the caller
 * @param hash its id as all routers see it
 * @param zone index of its zone in the settings
 * @param cell its cell within the zone
 * @param kind index of its kind in the settings; past them all where the kind is unknown
 * @param capacity its size as the list reports it, 0 where it does not
 * @param startedAt start of its process since the router's start, null if long past
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
