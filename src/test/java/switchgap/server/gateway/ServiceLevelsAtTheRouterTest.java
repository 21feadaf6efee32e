package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.testing.BoundedWait.until;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Service levels as clients and operators see them at the router. */
class ServiceLevelsAtTheRouterTest {
  private static HttpResponse<String> pin(GatewayFixture fixture, String level, int seconds)
      throws Exception {
    return fixture.client.send(
        fixture
            .to("/v1/levels?pin=" + level + "&seconds=" + seconds)
            .POST(HttpRequest.BodyPublishers.noBody())
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void aPinnedLevelRejectsNamesItselfAndExpires() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(fixture.get("/v1/levels").body()).contains("\"level\" : \"full\"");
      assertThat(pin(fixture, "least", 1).statusCode()).isEqualTo(200);
      HttpResponse<String> response = fixture.invoke("again-1", "1");
      assertThat(end(response)).isEqualTo("pushed-back");
      assertThat(response.headers().firstValue("Switchgap-Level")).hasValue("least");
      assertThat(response.headers().firstValue("Retry-After")).isPresent();
      assertThat(response.body())
          .contains("\"level\":\"least\"")
          .contains("\"repeat_harmless\":true");
      // of the highest priority weight
      assertThat(end(fixture.invoke("once-1", "1"))).isEqualTo("finished");
      assertThat(
              worker.receivedRequests().stream()
                  .anyMatch(request -> request.line().contains("again-1")))
          .isFalse();
      assertThat(fixture.get("/v1/levels").body())
          .contains("\"condition\" : \"pinned\"")
          .contains("\"again\" : 1");
      assertThat(fixture.get("/metrics").body())
          .contains("switchgap_level 2\n")
          .contains("level=\"least\",workload=\"again\"} 1");
      until(
          () -> {
            try {
              return end(fixture.invoke("again-1", "2")).equals("finished");
            } catch (Exception e) {
              return false;
            }
          });
      assertThat(fixture.get("/v1/levels").body()).contains("the pin has expired");
      assertThat(fixture.gateway.pendingRequests()).isZero();
    }
  }

  /**
   * Its response was delayed until two latency objectives before the deadline, to be offered again
   * and again.
   */
  @Test
  void aDeferredRequestRejectedByALevelEndsAtOnce() throws Exception {
    String slow =
        GatewayFixture.SETTINGS.replace(
            "again: {start_target: 300ms, time_limit: 900ms",
            "again: {start_target: 300ms, time_limit: 6s");
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.with(slow, "", worker)) {
      pin(fixture, "hold", 1);
      String at =
          fixture
              .invoke("again-1", "9", "Prefer", "respond-async")
              .headers()
              .firstValue("Location")
              .orElseThrow();
      HttpResponse<String> response = fixture.get(at);
      assertThat(end(response)).isEqualTo("pushed-back");
      // the first level that rejects it
      assertThat(response.headers().firstValue("Switchgap-Level")).hasValue("least");
      assertThat(worker.inferenceRequestCount()).isZero();
      assertThat(fixture.gateway.pendingRequests()).isZero();
    }
  }

  @Test
  void invalidPinsAreRefused() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            new GatewayFixture("levels: {pin: hold, pin_for: 300ms, spare: [known]}\n", worker)) {
      // the configuration's pin
      assertThat(end(fixture.invoke("once-1", "1"))).isEqualTo("pushed-back");
      // exempt
      assertThat(end(fixture.invoke("known-1", "1", "Idempotency-Key", "k"))).isEqualTo("finished");
      assertThat(pin(fixture, "share", 5).statusCode()).isEqualTo(400);
      assertThat(pin(fixture, "least", 0).statusCode()).isEqualTo(400);
      assertThat(pin(fixture, "least", 99999999).statusCode()).isEqualTo(400);
      Thread.sleep(500);
      assertThat(end(fixture.invoke("once-1", "1"))).isEqualTo("finished");
    }
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = new GatewayFixture("levels: {act: false}\n", worker)) {
      assertThat(fixture.get("/v1/levels").statusCode()).isEqualTo(404);
    }
  }
}
