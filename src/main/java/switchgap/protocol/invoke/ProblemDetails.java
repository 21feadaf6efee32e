package switchgap.protocol.invoke;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import switchgap.config.EnumWords;

/**
 * Problem details by RFC 9457.
 *
 * @param detail the explanation for a reader
 * @param outcome how the request ended, or null where there was none that could be accepted
 */
record ProblemDetails(ProblemType type, String detail, ProblemOutcome outcome) {
  static final String MEDIA_TYPE = "application/problem+json";
  private static final String TYPE_PREFIX = "urn:switchgap:problem:";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** A problem of a path, or of a request that is malformed. */
  ProblemDetails(ProblemType type, String detail) {
    this(type, detail, null);
  }

  /** The router shuts down. */
  static ProblemDetails routerStopping() {
    return notAccepted("the router is stopping");
  }

  /** As many requests are pending as may be. */
  static ProblemDetails pendingLimitReached(int maxPending) {
    return notAccepted("the router holds " + maxPending + " calls already");
  }

  /** The request names a further function, and state is stored of as many as may be. */
  static ProblemDetails functionLimitReached() {
    return notAccepted("no room for a further function");
  }

  /** As many deferred requests are pending as may be. */
  static ProblemDetails deferredLimitReached() {
    return notAccepted("no room for a further deferred call");
  }

  /** The problem of a request that was not accepted: never executed, so a retry is harmless. */
  private static ProblemDetails notAccepted(String detail) {
    return new ProblemDetails(
        ProblemType.NOT_ACCEPTED, detail, ProblemOutcome.rejected(null, null));
  }

  int status() {
    return type.status();
  }

  /** The body of the response, JSON in UTF-8. */
  byte[] toJson() {
    ObjectNode members = JSON.createObjectNode();
    members.put("type", TYPE_PREFIX + type.word());
    members.put("title", type.word().replace('-', ' '));
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
    members.put("end", outcome.end().word());
    members.put("repeat_harmless", outcome.retryHarmless());
    if (outcome.shedBy() != null) {
      members.put("level", EnumWords.wordOf(outcome.shedBy()));
    }
    if (outcome.retryAfter() != null) {
      members.put("come_back_ms", outcome.retryAfter().toMillis());
    }
  }
}
