package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings of other operators: requests are served under each. */
class PlatformSettingsTest extends PlatformFixture {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "no tenants",
        "tenants not stated",
        "no zones",
        "one class",
        "no costs",
        "no reports",
        "no retry-after",
        "timeouts of minutes",
        "timeouts of tenths of a second",
        "no warm-up",
        "no load commands",
        "a hundred routers"
      })
  void servesRequestsUnderVariedSettings(String variant) throws Exception {
    String requestClass = TestSubmit.IDEMPOTENT_CLASS;
    long timeoutMillis = 450;
    switch (variant) {
      case "no tenants" ->
          settings = settings.replaceAll("\"Tenants\":\\[[^]]*]", "\"Tenants\":[]");
      case "tenants not stated" -> settings = settings.replaceAll("\"Tenants\":\\[[^]]*],", "");
      case "no zones" -> settings = settings.replace("[\"east\",\"west\"]", "[]");
      case "one class" -> {
        settings = settings.replaceAll("(?s)\\{\"Name\":\"again\"[^}]*},", "");
        requestClass = TestSubmit.NON_IDEMPOTENT_CLASS;
      }
      case "no costs" ->
          settings =
              settings.replaceAll("\"Costs\":\\{[^}]*},", "").replaceAll("\"MemoryPrice\":0,", "");
      case "no reports" ->
          settings =
              settings
                  .replaceAll("(?s),\\s*\"Telemetry\":\\{[^}]*}", "")
                  .replace(",\"SaysCompany\":true", "");
      case "no retry-after" ->
          settings =
              settings.replace(
                  "\"RetryAfter\":true,\"MaxRetryAfterUs\":900000,", "\"RetryAfter\":false,");
      case "timeouts of minutes" -> {
        timeoutMillis = 300_000;
        settings =
            settings.replace(
                "\"AimUs\":300000,\"DeadlineUs\":1000000",
                "\"AimUs\":60000000,\"DeadlineUs\":600000000");
      }
      case "timeouts of tenths of a second" ->
          settings =
              settings.replace(
                  "\"AimUs\":300000,\"DeadlineUs\":1000000",
                  "\"AimUs\":40000,\"DeadlineUs\":450000");
      case "no warm-up" ->
          settings =
              settings.replace(
                  "\"ColdUs\":2000000,\"FallMultiple\":3,\"OverloadForUs\":1000000",
                  "\"ColdUs\":0,\"FallMultiple\":0,\"OverloadForUs\":0");
      case "no load commands" ->
          settings =
              settings.replace(
                  "\"IfCold\":\"miss\",\"PlacementCalls\":true",
                  "\"IfCold\":\"load\",\"PlacementCalls\":false");
      default ->
          settings = settings.replace("\"Balancers\":1,\"Me\":0", "\"Balancers\":100,\"Me\":99");
    }
    assertThat(settings).isNotEqualTo(TestPlatformSettings.SETTINGS);
    startRouter(MANY_SOCKETS, RespTestServer.executingAll());
    ThriftTestClient client = connectClient();
    for (int number = 1; number <= 3; number++) {
      client.submit(
          number, TestSubmit.ofClass(requestClass, nextId()).timeoutMillis(timeoutMillis));
      assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    }
  }
}
