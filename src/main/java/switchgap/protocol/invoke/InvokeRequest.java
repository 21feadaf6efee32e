package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.config.FunctionSettings;
import switchgap.net.HttpExchange;
import switchgap.router.PendingRequest;
import switchgap.router.ResponseListener;

/**
 * An invoke request, validated against the settings by {@link InvokeRequestReader}.
 *
 * @param requestClass index in the settings
 * @param tenant index in the settings, below zero for none
 * @param timeout time from its arrival until its deadline, above zero
 * @param durationHint the client's estimate of the duration, or null
 * @param idempotencyKey the key by which workers detect a retry, or null
 * @param clientRequestId the client's own id of the request, which responses echo, or null
 * @param deferred whether the client polls for the response
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

  /** The request in the form of the router's core; the exchange has its body. */
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
