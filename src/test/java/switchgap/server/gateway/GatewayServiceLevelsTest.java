package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.KEYED;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.REJECTED;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.outcomeOf;
import static switchgap.testing.BoundedWait.until;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Checks service levels in the responses to clients and in the pages for operators. */
class GatewayServiceLevelsTest {
  private static HttpResponse<String> pin(GatewayFixture fixture, String level, int seconds)
      throws Exception {
    String path = "/v1/levels?pin=" + level + "&seconds=" + seconds;
    return fixture.send(fixture.request(path).POST(HttpRequest.BodyPublishers.noBody()));
  }

  @Test
  void aPinnedLevelRejectsRequestsIsReportedAndExpires() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(fixture.get("/v1/levels").body()).contains("\"level\" : \"full\"");
      assertThat(pin(fixture, "least", 1).statusCode()).isEqualTo(200);

      HttpResponse<String> response = fixture.invoke(IDEMPOTENT, "1");
      assertThat(outcomeOf(response)).isEqualTo(REJECTED);
      assertThat(response.headers().firstValue("Switchgap-Level")).hasValue("least");
      assertThat(response.headers().firstValue("Retry-After")).isPresent();
      assertThat(response.body())
          .contains("\"level\":\"least\"")
          .contains("\"repeat_harmless\":true");
      // This request class has the highest priority weight, so the level does not reject it.
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
      assertThat(worker.receivedRequests())
          .noneMatch(request -> request.line().contains(IDEMPOTENT));
      assertThat(fixture.get("/v1/levels").body())
          .contains("\"condition\" : \"pinned\"")
          .contains("\"again\" : 1");
      assertThat(fixture.get("/metrics").body())
          .contains("switchgap_level 2\n")
          .contains("level=\"least\",workload=\"again\"} 1");

      until(() -> fixture.invokeForOutcomeAsync(IDEMPOTENT, "2").join().equals(SUCCEEDED));
      assertThat(fixture.get("/v1/levels").body()).contains("the pin has expired");
      assertThat(fixture.router().pendingRequests()).isZero();
    }
  }

  /**
   * Guards against a delayed rejection: the request was offered to the admission gate repeatedly
   * until two latency objectives before its deadline, and only then got its response.
   */
  @Test
  void aDeferredRequestRejectedByALevelEndsAtOnce() throws Exception {
    String longTimeout =
        GatewayFixture.SETTINGS.replace(
            "again: {start_target: 300ms, time_limit: 900ms",
            "again: {start_target: 300ms, time_limit: 6s");
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            GatewayFixture.builder().settings(longTimeout).workers(worker).start()) {
      pin(fixture, "hold", 1);

      HttpResponse<String> response = fixture.get(fixture.invokeDeferred(IDEMPOTENT, "9"));

      assertThat(outcomeOf(response)).isEqualTo(REJECTED);
      // The response names the first level that rejects the request, not the pinned one.
      assertThat(response.headers().firstValue("Switchgap-Level")).hasValue("least");
      assertThat(worker.inferenceRequestCount()).isZero();
      assertThat(fixture.router().pendingRequests()).isZero();
    }
  }

  @Test
  void rejectsInvalidPinsAndKeepsTheConfiguredPinUntilItExpires() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("levels: {pin: hold, pin_for: 300ms, spare: [known]}\n")
                .workers(worker)
                .start()) {
      // The configuration pins the level HOLD.
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(REJECTED);
      // The setting spare exempts this request class.
      assertThat(outcomeOf(fixture.invoke(KEYED, "1", "Idempotency-Key", "k")))
          .isEqualTo(SUCCEEDED);
      assertThat(pin(fixture, "share", 5).statusCode()).isEqualTo(400);
      assertThat(pin(fixture, "least", 0).statusCode()).isEqualTo(400);
      assertThat(pin(fixture, "least", 99_999_999).statusCode()).isEqualTo(400);
      Thread.sleep(500); // longer than pin_for
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
    }
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            GatewayFixture.builder().sections("levels: {act: false}\n").workers(worker).start()) {
      assertThat(fixture.get("/v1/levels").statusCode()).isEqualTo(404);
    }
  }
}
