package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.config.FunctionSettings;
import switchgap.net.HttpExchange;
import switchgap.router.PendingRequest;
import switchgap.router.ResponseListener;

/**
 * An invoke request, validated against the settings by {@link InvokeRequestReader}.
 *
 * @param requestClass index of the request class in the settings
 * @param tenant index of the tenant in the settings, negative if there is none
 * @param timeout positive time from the arrival of the request until its deadline
 * @param durationHint the client's estimate of the execution time, or null
 * @param idempotencyKey the key by which workers detect a retry, or null
 * @param clientRequestId the client's own id of the request, which the response echoes, or null
 * @param deferred whether the response is stored for the client to poll for
 */
record InvokeRequest(
    String function,
    FunctionSettings functionSettings,
    int requestClass,
    int tenant,
    Duration timeout,
    Duration durationHint,
    String idempotencyKey,
    String clientRequestId,
    boolean deferred) {

  /** Converts the request for the router's core, with the content type and body of the exchange. */
  PendingRequest toPendingRequest(
      String id, Duration deadline, HttpExchange exchange, ResponseListener listener) {
    return PendingRequest.builder(id, function, deadline, listener)
        .requestClass(requestClass)
        .tenant(tenant)
        .durationHint(durationHint)
        .idempotencyKey(idempotencyKey)
        .payload(exchange.header(HeaderNames.CONTENT_TYPE), exchange.body())
        .replica(functionSettings.memoryMb(), functionSettings.slots())
        .build();
  }
}
