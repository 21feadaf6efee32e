package switchgap.policy.api;

import java.time.Duration;

/**
 * An accepted request, which needs exactly one final response before its deadline.
 *
 * @param request index of the request, assigned by the caller
 * @param requestClass index of the request class in the settings
 * @param tenant index of the tenant in the settings; beyond the last one if there is none
 * @param function index of the function, assigned by the caller
 * @param functionHash id of the function, identical at all routers
 * @param deadline time of the deadline since the router's start
 * @param durationHint expected duration, null if the client gave none
 * @param memoryMb memory of one replica of the function, in MB
 * @param slots number of requests that one replica executes concurrently
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
