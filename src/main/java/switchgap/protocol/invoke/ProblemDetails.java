package switchgap.protocol.invoke;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Problem details by RFC 9457.
 *
 * @param detail the explanation for a reader
 * @param extensions further members, which a program may act on
 */
record ProblemDetails(ProblemType type, String detail, Map<String, Object> extensions) {
  static final String MEDIA_TYPE = "application/problem+json";
  static final String END_MEMBER = "end";
  static final String RETRY_HARMLESS_MEMBER = "repeat_harmless";
  private static final String TYPE_PREFIX = "urn:switchgap:problem:";
  private static final ObjectMapper JSON = new ObjectMapper();

  ProblemDetails(ProblemType type, String detail) {
    this(type, detail, Map.of());
  }

  /** The problem of a request that was not accepted: never executed, so a retry is harmless. */
  static ProblemDetails notAccepted(String detail) {
    return new ProblemDetails(
        ProblemType.NOT_ACCEPTED,
        detail,
        Map.of(END_MEMBER, ProblemType.REJECTED.word(), RETRY_HARMLESS_MEMBER, true));
  }

  int status() {
    return type.status();
  }

  /** The body of the response, JSON in UTF-8. */
  byte[] toJson() {
    Map<String, Object> members = new LinkedHashMap<>();
    members.put("type", TYPE_PREFIX + type.word());
    members.put("title", type.word().replace('-', ' '));
    members.put("status", status());
    members.put("detail", detail);
    members.putAll(extensions);
    try {
      return JSON.writeValueAsBytes(members);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
