package switchgap.protocol.thrift;

import java.time.Duration;
import switchgap.router.PendingRequest;
import switchgap.router.ResponseListener;

/**
 * Decodes a submitted request field by field; a missing or invalid field is reported by its name.
 */
final class SubmitRequestDecoder {
  private static final int MAX_BODY_BYTES = 16 << 10;

  /** Number of hexadecimal digits of a request id and of a function id. */
  private static final int ID_DIGITS = 16;

  /** Maximum timeout of a request, as a multiple of the timeout configured for its class. */
  private static final double MAX_TIMEOUT_MULTIPLE = 2;

  private static final double MILLIS_PER_NANO = 1e-6;
  private static final byte[] NO_BODY = {};

  // Reported instead of a field's name.
  private static final String NO_FIELDS = "no fields";
  private static final String BODY_TOO_LONG = "bytes";

  private SubmitRequestDecoder() {}

  /**
   * Decodes the request that a message submits.
   *
   * @param receivedAt arrival time of the message since the router's start, from which the
   *     request's timeout counts
   * @param listener receives the response
   * @throws InvalidSubmitException with the name of a missing or invalid field
   */
  static PendingRequest decode(
      ThriftMessage message, NameDirectory names, Duration receivedAt, ResponseListener listener)
      throws InvalidSubmitException {
    if (message.fields() == null) {
      throw new InvalidSubmitException(NO_FIELDS);
    }
    byte[] body = message.body() == null ? NO_BODY : message.body();
    if (body.length > MAX_BODY_BYTES) {
      throw new InvalidSubmitException(BODY_TOO_LONG);
    }
    String id = hexId(message, WireNames.REF);
    int requestClass = requestClass(message, names);
    int tenant = tenant(message, names);
    String function = hexId(message, WireNames.LOOKUP);
    Duration deadline = receivedAt.plus(timeout(message, names, requestClass));
    Duration durationHint = durationHint(message);
    ReplicaExtras extras = ReplicaExtras.parse(message.fields().getOrDefault(WireNames.EXTRAS, ""));
    return PendingRequest.builder(id, function, deadline, listener)
        .requestClass(requestClass)
        .tenant(tenant)
        .durationHint(durationHint)
        .payload(null, body)
        .replica(extras.memoryMb(), extras.slots())
        .build();
  }

  private static int requestClass(ThriftMessage message, NameDirectory names)
      throws InvalidSubmitException {
    Integer index =
        names.requestClasses().get(message.fields().getOrDefault(WireNames.SERVICE, ""));
    if (index == null) {
      throw new InvalidSubmitException(WireNames.SERVICE);
    }
    return index;
  }

  private static int tenant(ThriftMessage message, NameDirectory names)
      throws InvalidSubmitException {
    if (names.tenants().isEmpty()) {
      return PendingRequest.NO_TENANT;
    }
    Integer index = names.tenants().get(message.fields().getOrDefault(WireNames.PROJECT, ""));
    if (index == null) {
      throw new InvalidSubmitException(WireNames.PROJECT);
    }
    return index;
  }

  private static Duration timeout(ThriftMessage message, NameDirectory names, int requestClass)
      throws InvalidSubmitException {
    long configuredNanos = names.settings().requestTimeout(requestClass).toNanos();
    double maxMillis = MAX_TIMEOUT_MULTIPLE * MILLIS_PER_NANO * configuredNanos;
    Duration timeout =
        DecimalNumber.parseMillis(
            message.fields().get(WireNames.ALLOW), WireNames.ALLOW, maxMillis);
    if (timeout.isZero()) {
      throw new InvalidSubmitException(WireNames.ALLOW);
    }
    return timeout;
  }

  private static Duration durationHint(ThriftMessage message) throws InvalidSubmitException {
    String effort = message.fields().get(WireNames.EFFORT);
    return effort == null
        ? null
        : DecimalNumber.parseMillis(effort, WireNames.EFFORT, DecimalNumber.MAX_MILLIS);
  }

  private static String hexId(ThriftMessage message, String field) throws InvalidSubmitException {
    String text = message.fields().get(field);
    if (text == null || text.length() != ID_DIGITS) {
      throw new InvalidSubmitException(field);
    }
    for (int i = 0; i < ID_DIGITS; i++) {
      if (!isHexDigit(text.charAt(i))) {
        throw new InvalidSubmitException(field);
      }
    }
    return text;
  }

  private static boolean isHexDigit(char character) {
    return (character >= '0' && character <= '9')
        || (character >= 'a' && character <= 'f')
        || (character >= 'A' && character <= 'F');
  }
}
