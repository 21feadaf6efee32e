package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Requests are served under various settings that operators may use. */
class PlatformSettingsTest extends PlatformFixture {
  private static final String DEFAULT_TIMEOUTS_JSON = "\"AimUs\":300000,\"DeadlineUs\":1000000";
  private static final long TIMEOUT_MILLIS = 450;
  private static final long LONG_TIMEOUT_MILLIS = 300_000;

  /**
   * A variant of the settings.
   *
   * @param name description of the difference from the test settings
   * @param change transforms the JSON of the test settings
   * @param requestClass name of a request class in these settings
   * @param timeoutMillis a request timeout that these settings allow
   */
  private record Variant(
      String name, UnaryOperator<String> change, String requestClass, long timeoutMillis) {
    static Variant of(String name, UnaryOperator<String> change) {
      return new Variant(name, change, TestSubmit.IDEMPOTENT_CLASS, TIMEOUT_MILLIS);
    }

    @Override
    public String toString() {
      return name;
    }
  }

  private static Stream<Variant> variants() {
    return Stream.of(
        Variant.of(
            "empty list of tenants",
            json -> json.replaceAll("\"Tenants\":\\[[^]]*]", "\"Tenants\":[]")),
        Variant.of("key Tenants missing", json -> json.replaceAll("\"Tenants\":\\[[^]]*],", "")),
        Variant.of("empty list of zones", json -> json.replace("[\"east\",\"west\"]", "[]")),
        new Variant(
            "one request class",
            json -> json.replaceAll("(?s)\\{\"Name\":\"again\"[^}]*},", ""),
            TestSubmit.NON_IDEMPOTENT_CLASS,
            TIMEOUT_MILLIS),
        Variant.of(
            "no costs",
            json ->
                json.replaceAll("\"Costs\":\\{[^}]*},", "").replaceAll("\"MemoryPrice\":0,", "")),
        Variant.of(
            "no load reports",
            json ->
                json.replaceAll("(?s),\\s*\"Telemetry\":\\{[^}]*}", "")
                    .replace(",\"SaysCompany\":true", "")),
        Variant.of(
            "no retry-after",
            json ->
                json.replace(
                    "\"RetryAfter\":true,\"MaxRetryAfterUs\":900000,", "\"RetryAfter\":false,")),
        new Variant(
            "timeouts of minutes",
            json ->
                json.replace(DEFAULT_TIMEOUTS_JSON, "\"AimUs\":60000000,\"DeadlineUs\":600000000"),
            TestSubmit.IDEMPOTENT_CLASS,
            LONG_TIMEOUT_MILLIS),
        Variant.of(
            "timeouts of tenths of a second",
            json -> json.replace(DEFAULT_TIMEOUTS_JSON, "\"AimUs\":40000,\"DeadlineUs\":450000")),
        Variant.of(
            "no warm-up",
            json ->
                json.replace(
                    "\"ColdUs\":2000000,\"FallMultiple\":3,\"OverloadForUs\":1000000",
                    "\"ColdUs\":0,\"FallMultiple\":0,\"OverloadForUs\":0")),
        Variant.of(
            "no load commands",
            json ->
                json.replace(
                    "\"IfCold\":\"miss\",\"PlacementCalls\":true",
                    "\"IfCold\":\"load\",\"PlacementCalls\":false")),
        Variant.of(
            "100 routers",
            json -> json.replace("\"Balancers\":1,\"Me\":0", "\"Balancers\":100,\"Me\":99")));
  }

  @ParameterizedTest
  @MethodSource("variants")
  void servesRequestsUnderVariedSettings(Variant variant) throws Exception {
    settings = variant.change().apply(settings);
    assertThat(settings).isNotEqualTo(TestPlatformSettings.SETTINGS);
    startRouter(MANY_SOCKETS, RespTestServer.executingAll());
    ThriftTestClient client = connectClient();
    for (int number = 1; number <= 3; number++) {
      client.submit(
          number,
          TestSubmit.ofClass(variant.requestClass(), nextId())
              .timeoutMillis(variant.timeoutMillis()));
      assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    }
  }
}
