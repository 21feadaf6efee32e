package switchgap.protocol.invoke;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/** A problem by RFC 9457: {@code type} names the kind, further members what a program may act on. */
record ProblemDetails(int status, String kind, String detail, Map<String, Object> members) {
    static final String TYPE = "application/problem+json";
    private static final ObjectMapper JSON = new ObjectMapper();

    ProblemDetails(int status, String kind, String detail) {
        this(status, kind, detail, Map.of());
    }

    byte[] bytes() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("type", "urn:switchgap:problem:" + kind);
        all.put("title", kind.replace('-', ' '));
        all.put("status", status);
        all.put("detail", detail);
        all.putAll(members);
        try {
            return JSON.writeValueAsBytes(all);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
