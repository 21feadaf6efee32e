package switchgap.protocol.invoke;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import switchgap.admission.ServiceLevel;
import switchgap.config.EnumWords;

/**
 * The body of an error response: problem details as defined by RFC 9457.
 *
 * @param detail explanation for a human reader
 * @param outcome how the request ended, or null if the problem is not about a valid request
 */
record ProblemDetails(ProblemType type, String detail, ProblemOutcome outcome) {
  static final String MEDIA_TYPE = "application/problem+json";
  private static final String TYPE_PREFIX = "urn:switchgap:problem:";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Creates a problem without an outcome, for an invalid path or a malformed request. */
  ProblemDetails(ProblemType type, String detail) {
    this(type, detail, null);
  }

  /**
   * The problem of a request that was rejected without an effect.
   *
   * @param shedBy the service level that rejected it, or null
   * @param retryAfter the delay after which the client may retry; null for no advice
   */
  static ProblemDetails rejected(ServiceLevel shedBy, Duration retryAfter) {
    return new ProblemDetails(
        ProblemType.REJECTED,
        "not done; trying again is harmless",
        ProblemOutcome.rejected(shedBy, retryAfter));
  }

  /** The problem of a request that may have been executed. */
  static ProblemDetails failed() {
    return new ProblemDetails(
        ProblemType.FAILED, "no promise is made about its effect", ProblemOutcome.failed());
  }

  /** The problem of a request that arrives while the router is shutting down. */
  static ProblemDetails routerStopping() {
    return notAccepted("the router is stopping");
  }

  /** The problem of a request that exceeds the limit of pending requests. */
  static ProblemDetails pendingLimitReached(int maxPending) {
    return notAccepted("the router holds " + maxPending + " calls already");
  }

  /** The problem of a request for a new function when the limit of functions is reached. */
  static ProblemDetails functionLimitReached() {
    return notAccepted("no room for a further function");
  }

  /** The problem of a deferred request that exceeds the limit of stored deferred requests. */
  static ProblemDetails deferredLimitReached() {
    return notAccepted("no room for a further deferred call");
  }

  /** The problem of a request that was not accepted. It was never executed, so a retry is safe. */
  private static ProblemDetails notAccepted(String detail) {
    return new ProblemDetails(
        ProblemType.NOT_ACCEPTED, detail, ProblemOutcome.rejected(null, null));
  }

  int status() {
    return type.status();
  }

  /** Returns the response body as JSON in UTF-8. */
  byte[] toJson() {
    ObjectNode members = JSON.createObjectNode();
    members.put("type", TYPE_PREFIX + type.wireName());
    members.put("title", type.wireName().replace('-', ' '));
    members.put("status", status());
    members.put("detail", detail);
    if (outcome != null) {
      addOutcome(members);
    }
    try {
      return JSON.writeValueAsBytes(members);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private void addOutcome(ObjectNode members) {
    members.put("end", outcome.end().wireName());
    members.put("repeat_harmless", outcome.safeToRetry());
    if (outcome.shedBy() != null) {
      members.put("level", EnumWords.wordOf(outcome.shedBy()));
    }
    if (outcome.retryAfter() != null) {
      members.put("come_back_ms", outcome.retryAfter().toMillis());
    }
  }
}
