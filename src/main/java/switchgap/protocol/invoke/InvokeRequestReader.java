package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.config.FunctionSettings;
import switchgap.config.RequestClassSettings;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.net.WallClock;
import switchgap.policy.api.Idempotency;

/**
 * Reads and validates the headers of an invoke request in a fixed order, and reports the first
 * invalid one. {@link HeaderNames} lists the headers; {@code Switchgap-Repeat} is accepted and
 * ignored.
 */
final class InvokeRequestReader {
  private final RequestHeaders headers;
  private final YamlRouterSettings settings;

  InvokeRequestReader(HttpExchange exchange, YamlRouterSettings settings) {
    this.headers = new RequestHeaders(exchange);
    this.settings = settings;
  }

  InvokeRequest read(String function) throws InvalidRequestException {
    FunctionSettings functionSettings = readFunction(function);
    int requestClass = readRequestClass(functionSettings);
    int tenant = readTenant(functionSettings);
    RequestClassSettings classSettings = settings.requestClass(requestClass);
    Duration timeout = readTimeout(classSettings);
    Duration durationHint = headers.millis(HeaderNames.DURATION_HINT, null);
    String idempotencyKey = readIdempotencyKey(classSettings);
    String clientRequestId = headers.boundedValue(HeaderNames.CLIENT_REQUEST_ID);
    return new InvokeRequest(
        function,
        functionSettings,
        requestClass,
        tenant,
        timeout,
        durationHint,
        idempotencyKey,
        clientRequestId,
        headers.prefersDeferred());
  }

  private FunctionSettings readFunction(String function) throws InvalidRequestException {
    FunctionSettings found =
        function.length() > RequestHeaders.MAX_VALUE_LENGTH ? null : settings.function(function);
    if (found == null) {
      throw new InvalidRequestException(
          ProblemType.UNKNOWN_FUNCTION, "no function is called " + RequestHeaders.quoted(function));
    }
    return found;
  }

  private int readRequestClass(FunctionSettings functionSettings) throws InvalidRequestException {
    String name = headers.value(HeaderNames.REQUEST_CLASS);
    int index = name == null ? functionSettings.requestClass() : settings.requestClassIndex(name);
    if (index < 0) {
      throw new InvalidRequestException(
          ProblemType.UNKNOWN_REQUEST_CLASS,
          "no workload is called " + RequestHeaders.quoted(name));
    }
    return index;
  }

  private int readTenant(FunctionSettings functionSettings) throws InvalidRequestException {
    String name = headers.value(HeaderNames.TENANT);
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

  /** A client may shorten the timeout of the request class but not extend it. */
  private Duration readTimeout(RequestClassSettings classSettings) throws InvalidRequestException {
    Duration timeout = headers.millis(HeaderNames.TIMEOUT, classSettings.timeout());
    if (timeout.isZero()) {
      throw new InvalidRequestException(
          ProblemType.DEADLINE_EXCEEDED, "the time limit has passed already");
    }
    return shortenToDeadline(min(timeout, classSettings.timeout()));
  }

  /**
   * Limits the timeout to the client's deadline in wall time. A timeout alone starts when the
   * request is read, so a request that was in the socket buffer while the process was paused would
   * be executed too late. The wall clock can only shorten the timeout.
   */
  private Duration shortenToDeadline(Duration timeout) throws InvalidRequestException {
    Long deadlineMillis = headers.unixMillis(HeaderNames.DEADLINE);
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

  private String readIdempotencyKey(RequestClassSettings classSettings)
      throws InvalidRequestException {
    String key = headers.boundedValue(HeaderNames.IDEMPOTENCY_KEY);
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
}
