package switchgap.policy.api;

import java.time.Duration;

/**
 * A request was taken: it is owed one final response before its deadline.
 *
 * @param request index of the request, given by the caller
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings; past them all for none
 * @param function index of its function, given by the caller
 * @param functionHash the function's id as all routers see it
 * @param deadline since the router's start
 * @param durationHint how long it should run, null where the client did not say
 * @param memoryMb memory of one replica of the function
 * @param slots requests that one replica runs at a time
 */
public record RequestArrival(
    int request,
    int requestClass,
    int tenant,
    int function,
    long functionHash,
    Duration deadline,
    Duration durationHint,
    double memoryMb,
    int slots) {}
