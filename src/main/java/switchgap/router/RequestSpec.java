package switchgap.router;

import java.time.Duration;

/**
 * What a client sent of a request.
 *
 * @param id unique among the requests in flight
 * @param function name of the function that it invokes
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings, or {@link PendingRequest#NO_TENANT}
 * @param deadline when the client stops waiting, since the router's start
 * @param durationHint how long it should run, or null
 * @param idempotencyKey the key by which workers recognize a retry, or null
 * @param contentType media type of the body, or null
 * @param body the body as received; not to be changed
 * @param memoryMb memory of one replica of its function, in MB
 * @param slots requests that one replica of its function runs at a time
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
