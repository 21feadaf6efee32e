package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.locationOf;
import static switchgap.testing.BoundedWait.until;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import switchgap.protocol.invoke.RequestCounts;

/** Checks deferred requests, whose clients poll for the response. */
class DeferredRequestsTest {
  @Test
  void theResultOfADeferredRequestIsPolledAndExpires() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(200);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("holds: {results_kept: 600ms, deferred: 2}\n")
                .workers(worker)
                .start()) {
      HttpResponse<String> accepted =
          fixture.invoke(NON_IDEMPOTENT, "5", "Prefer", "respond-async");
      assertThat(accepted.statusCode()).isEqualTo(202);
      String location = locationOf(accepted);
      assertThat(fixture.get(location).statusCode()).isEqualTo(202);

      HttpResponse<String> response = fixture.get(location, "Prefer", "wait=5");
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("{\"echo\":5}");
      assertThat(fixture.get(location).body()).isEqualTo("{\"echo\":5}");

      Thread.sleep(700); // longer than results_kept
      assertThat(fixture.get(location).statusCode()).isEqualTo(410);
      assertThat(fixture.get("/v1/calls/other").statusCode()).isEqualTo(404);
      assertThat(fixture.get(location.replaceAll("d0$", "d99")).statusCode()).isEqualTo(404);

      String second = fixture.invokeDeferred(NON_IDEMPOTENT, "6");
      assertThat(fixture.send(fixture.request(second).DELETE()).statusCode()).isEqualTo(204);
      assertThat(fixture.get(second).statusCode()).isEqualTo(410);
      until(() -> fixture.router().pendingRequests() == 0);
    }
  }

  @Test
  void tenThousandDeferredRequestsAllEndAtTheirDeadlines() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::silent);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("holds: {calls: 20000, deferred: 20000}\n")
                .workers(worker)
                .start()) {
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (int i = 0; i < 10_000; i++) {
        String function = i % 2 == 0 ? NON_IDEMPOTENT : IDEMPOTENT;
        responses.add(fixture.invokeAsync(function, "1", "Prefer", "respond-async"));
        if (i % 200 == 199) {
          responses.get(i).get();
        }
      }
      String last = "";
      for (var future : responses) {
        assertThat(future.get().statusCode()).isEqualTo(202);
        last = locationOf(future.get());
      }
      assertThat(fixture.get(last, "Prefer", "wait=5").statusCode()).isIn(503, 504);
      until(() -> fixture.router().pendingRequests() == 0);
      RequestCounts counts = fixture.router().requestCounts();
      assertThat(counts.rejected() + counts.failed() + counts.overdue()).isEqualTo(10_000);
      // If the machine pauses for longer than the margin before the deadline, some requests end
      // without a response.
      assertThat(counts.overdue()).isLessThan(500);
    }
  }
}
