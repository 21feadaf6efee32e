package switchgap.router;

import java.time.Duration;

/**
 * The data of a request as sent by the client.
 *
 * @param id unique among the requests in flight
 * @param function name of the invoked function
 * @param requestClass index of the request class in the settings
 * @param tenant index of the tenant in the settings, or {@link PendingRequest#NO_TENANT}
 * @param deadline time at which the client stops waiting, since the router's start
 * @param durationHint expected execution time, or null
 * @param idempotencyKey key by which workers detect repeated executions, or null
 * @param contentType media type of the body, or null
 * @param body the body as received; must not be modified
 * @param memoryMb memory of one replica of the function, in MB
 * @param slots maximum concurrent requests of one replica of the function
 */
record RequestSpec(
    String id,
    String function,
    int requestClass,
    int tenant,
    Duration deadline,
    Duration durationHint,
    String idempotencyKey,
    String contentType,
    byte[] body,
    double memoryMb,
    int slots) {}
