package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.config.FunctionSettings;
import switchgap.config.RequestClassSettings;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.net.WallClock;
import switchgap.policy.api.Idempotency;
import switchgap.router.PendingRequest;
import switchgap.router.ResponseListener;

/**
 * An invoke request, validated against the settings. Headers: {@code Switchgap-Workload}, {@code
 * Switchgap-Customer}, {@code Switchgap-Time-Limit} and {@code Switchgap-Cost-Hint} in
 * milliseconds, {@code Switchgap-Deadline} in milliseconds of wall time, {@code Switchgap-Call},
 * {@code Idempotency-Key}, {@code Prefer: respond-async}. {@code Switchgap-Repeat} is allowed and
 * has no effect.
 *
 * @param requestClass index in the settings
 * @param tenant index in the settings, below zero for none
 * @param durationHint the client's estimate of the duration, or null
 * @param idempotencyKey or null
 * @param clientRequestId the client's own id of the request, which responses echo, or null
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

  static InvokeRequest read(String function, HttpExchange exchange, YamlRouterSettings settings)
      throws InvalidRequestException {
    RequestHeaders headers = new RequestHeaders(exchange);
    FunctionSettings functionSettings = readFunction(function, settings);
    int requestClass = readRequestClass(headers, functionSettings, settings);
    int tenant = readTenant(headers, functionSettings, settings);
    RequestClassSettings classSettings = settings.requestClass(requestClass);
    Duration timeout = readTimeout(headers, classSettings);
    Duration durationHint = headers.millis("Switchgap-Cost-Hint", null);
    String idempotencyKey = readIdempotencyKey(headers, classSettings);
    return new InvokeRequest(
        function,
        functionSettings,
        requestClass,
        tenant,
        timeout,
        durationHint,
        idempotencyKey,
        headers.boundedText("Switchgap-Call"),
        headers.prefersDeferred());
  }

  private static FunctionSettings readFunction(String function, YamlRouterSettings settings)
      throws InvalidRequestException {
    FunctionSettings found =
        function.length() > RequestHeaders.MAX_VALUE_LENGTH ? null : settings.function(function);
    if (found == null) {
      throw new InvalidRequestException(
          ProblemType.UNKNOWN_FUNCTION, "no function is called " + RequestHeaders.quoted(function));
    }
    return found;
  }

  private static int readRequestClass(
      RequestHeaders headers, FunctionSettings functionSettings, YamlRouterSettings settings)
      throws InvalidRequestException {
    String name = headers.text("Switchgap-Workload");
    int index = name == null ? functionSettings.requestClass() : settings.requestClassIndex(name);
    if (index < 0) {
      throw new InvalidRequestException(
          ProblemType.UNKNOWN_REQUEST_CLASS,
          "no workload is called " + RequestHeaders.quoted(name));
    }
    return index;
  }

  private static int readTenant(
      RequestHeaders headers, FunctionSettings functionSettings, YamlRouterSettings settings)
      throws InvalidRequestException {
    String name = headers.text("Switchgap-Customer");
    if (name == null) {
      return functionSettings.tenant();
    }
    int index = settings.tenantIndex(name);
    if (index < 0) {
      throw new InvalidRequestException(
          ProblemType.UNKNOWN_TENANT, "no customer is called " + RequestHeaders.quoted(name));
    }
    return index;
  }

  /** The client may shorten the timeout of the request class, never extend it. */
  private static Duration readTimeout(RequestHeaders headers, RequestClassSettings classSettings)
      throws InvalidRequestException {
    Duration timeout = headers.millis("Switchgap-Time-Limit", classSettings.timeout());
    if (timeout.isZero()) {
      throw new InvalidRequestException(
          ProblemType.DEADLINE_EXCEEDED, "the time limit has passed already");
    }
    return shortenToDeadline(min(timeout, classSettings.timeout()), headers);
  }

  /**
   * Guards against a request that lay in the socket while the router was paused: a duration alone
   * would begin anew when it is read. The wall clock may only shorten the timeout.
   */
  private static Duration shortenToDeadline(Duration timeout, RequestHeaders headers)
      throws InvalidRequestException {
    Long deadlineMillis = headers.epochMillis("Switchgap-Deadline");
    if (deadlineMillis == null) {
      return timeout;
    }
    Duration remaining = Duration.ofMillis(deadlineMillis - WallClock.unixMillis());
    if (remaining.isNegative() || remaining.isZero()) {
      throw new InvalidRequestException(
          ProblemType.DEADLINE_EXCEEDED, "the deadline has passed already");
    }
    return min(remaining, timeout);
  }

  private static String readIdempotencyKey(
      RequestHeaders headers, RequestClassSettings classSettings) throws InvalidRequestException {
    String key = headers.boundedText("Idempotency-Key");
    if (key == null && classSettings.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
      throw new InvalidRequestException(
          ProblemType.IDEMPOTENCY_KEY_MISSING,
          "workload " + classSettings.name() + " needs an Idempotency-Key");
    }
    return key;
  }

  private static Duration min(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  /** The request as the router's core holds it; the exchange has its body. */
  PendingRequest toPendingRequest(
      String id, Duration deadline, HttpExchange exchange, ResponseListener listener) {
    return PendingRequest.builder(id, function, deadline, listener)
        .requestClass(requestClass)
        .tenant(tenant)
        .durationHint(durationHint)
        .idempotencyKey(idempotencyKey)
        .payload(exchange.header("Content-Type"), exchange.body())
        .replica(functionSettings.memoryMb(), functionSettings.slots())
        .build();
  }
}
