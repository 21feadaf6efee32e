package switchgap.server.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.Map;

/**
 * A submit of a test client. By default it has a timeout of 900 ms, the function {@link
 * #DEFAULT_FUNCTION} and a one-letter body.
 */
final class TestSubmit {
  static final String DEFAULT_FUNCTION = "00000000000000f1";

  /** Request class of {@link TestPlatformSettings} with idempotent requests. */
  static final String IDEMPOTENT_CLASS = "again";

  /** Request class of {@link TestPlatformSettings} with requests that are not idempotent. */
  static final String NON_IDEMPOTENT_CLASS = "once";

  /** Request class of {@link TestPlatformSettings} that workers deduplicate for 1 s. */
  static final String KEYED_CLASS = "keyed";

  private final String requestClass;
  private final String id;
  private long timeoutMillis = 900;
  private String function = DEFAULT_FUNCTION;
  private String body = "x";

  private TestSubmit(String requestClass, String id) {
    this.requestClass = requestClass;
    this.id = id;
  }

  static TestSubmit idempotent(String id) {
    return ofClass(IDEMPOTENT_CLASS, id);
  }

  static TestSubmit nonIdempotent(String id) {
    return ofClass(NON_IDEMPOTENT_CLASS, id);
  }

  static TestSubmit ofClass(String requestClass, String id) {
    return new TestSubmit(requestClass, id);
  }

  TestSubmit timeoutMillis(long millis) {
    timeoutMillis = millis;
    return this;
  }

  TestSubmit function(String functionId) {
    function = functionId;
    return this;
  }

  TestSubmit function(long functionNumber) {
    return function(functionId(functionNumber));
  }

  TestSubmit body(String text) {
    body = text;
    return this;
  }

  /** Formats a function number as a function id. */
  static String functionId(long functionNumber) {
    return String.format("%016x", functionNumber);
  }

  Map<String, String> fields() {
    return new HashMap<>(
        Map.of(
            "service",
            requestClass,
            "ref",
            id,
            "allow",
            String.valueOf(timeoutMillis),
            "project",
            "shop",
            "lookup",
            function,
            "extras",
            "memory_mb:100;lanes:2"));
  }

  byte[] bodyBytes() {
    return body.getBytes(UTF_8);
  }
}
