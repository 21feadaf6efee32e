package switchgap.policy.api;

import java.time.Duration;

/**
 * A request that was accepted: it needs one final response before its deadline.
 *
 * @param request index of the request, given by the caller
 * @param requestClass index of the request class in the settings
 * @param tenant index of the tenant in the settings; past the last one for none
 * @param function index of the function, given by the caller
 * @param functionHash the function's id, the same for all routers
 * @param deadline time since the router's start
 * @param durationHint expected duration, null if the client gave none
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
