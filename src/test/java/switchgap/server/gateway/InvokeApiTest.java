package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.KEYED;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.outcomeOf;
import static switchgap.testing.BoundedWait.until;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which requests the invoke API accepts and how it rejects others. */
class InvokeApiTest {
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(3);

  /** A request with one header, and the expected status and problem type of its response. */
  private record InvalidRequest(
      String function, String header, String value, int status, String problem) {}

  private static final List<InvalidRequest> INVALID_REQUESTS =
      List.of(
          new InvalidRequest("nothing", "X-Nothing", "x", 404, "unknown-function"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Workload", "none", 400, "unknown-workload"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Customer", "stranger", 400, "unknown-customer"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Time-Limit", "0", 400, "limit-past"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Time-Limit", "-5", 400, "limit-past"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Deadline", "1000", 400, "limit-past"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Time-Limit", "soon", 400, "malformed-header"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Time-Limit", "1e300", 400, "malformed-header"),
          new InvalidRequest(IDEMPOTENT, "Switchgap-Cost-Hint", "x", 400, "malformed-header"),
          new InvalidRequest(KEYED, "X-Nothing", "x", 400, "fingerprint-missing"),
          new InvalidRequest(
              IDEMPOTENT, "Idempotency-Key", "k".repeat(300), 400, "malformed-header"));

  @Test
  void invalidRequestsGetAProblemThatNamesTheReason() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      for (InvalidRequest invalid : INVALID_REQUESTS) {
        assertProblem(fixture, invalid);
      }
      assertThat(fixture.get("/nowhere").statusCode()).isEqualTo(404);
      assertThat(fixture.get("/v1/functions/again-1/invoke").statusCode()).isEqualTo(405);
      assertThat(worker.inferenceRequestCount()).isZero();
      assertThat(fixture.router().pendingRequests()).isZero();

      HttpResponse<String> response =
          fixture.invoke(IDEMPOTENT, "7", "Switchgap-Call", "mine", "Switchgap-Customer", "shop");
      assertThat(response.body()).isEqualTo("{\"echo\":7}");
      assertThat(response.headers().firstValue("Switchgap-Call")).hasValue("mine");
    }
  }

  private static void assertProblem(GatewayFixture fixture, InvalidRequest invalid)
      throws Exception {
    HttpResponse<String> response =
        fixture.invoke(invalid.function(), "{}", invalid.header(), invalid.value());
    assertThat(response.statusCode()).as(invalid.toString()).isEqualTo(invalid.status());
    assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
    assertThat(response.body()).contains("urn:switchgap:problem:" + invalid.problem());
  }

  /**
   * Guards against a request without a response: an HTTP/2 client offers an upgrade with its first
   * request, and the HTTP filters then never treated that request as complete.
   */
  @Test
  void aRequestThatOffersAnHttp2UpgradeIsHandledAsHttp1() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      HttpClient client = HttpClient.newHttpClient();
      HttpRequest health = fixture.request("/healthz").timeout(CLIENT_TIMEOUT).build();
      HttpRequest invocation = fixture.invocation(IDEMPOTENT, "7").timeout(CLIENT_TIMEOUT).build();
      for (int i = 0; i < 2; i++) {
        assertThat(bodyOfResponse(client, health, fixture)).isEqualTo("ok\n");
        assertThat(bodyOfResponse(client, invocation, fixture)).isEqualTo("{\"echo\":7}");
      }
    }
  }

  /** If there is no response, fails with the router's counts, which show overdue requests. */
  private static String bodyOfResponse(
      HttpClient client, HttpRequest request, GatewayFixture fixture) throws InterruptedException {
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException e) {
      throw new AssertionError(request + ", " + fixture.router().requestCounts(), e);
    }
  }

  @Test
  void requestsBeyondThePendingLimitAreNotAccepted() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(300);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture =
            GatewayFixture.builder().sections("holds: {calls: 2}\n").workers(worker).start()) {
      var first = fixture.invokeAsync(NON_IDEMPOTENT, "1");
      var second = fixture.invokeAsync(NON_IDEMPOTENT, "2");
      until(() -> fixture.router().pendingRequests() == 2);

      HttpResponse<String> third = fixture.invoke(NON_IDEMPOTENT, "3");

      assertThat(third.statusCode()).isEqualTo(503);
      assertThat(third.body()).contains("not-taken").contains("\"repeat_harmless\":true");
      assertThat(outcomeOf(first.get())).isEqualTo(SUCCEEDED);
      assertThat(outcomeOf(second.get())).isEqualTo(SUCCEEDED);
    }
  }

  @Test
  void gracefulShutdownCompletesPendingRequestsAndAcceptsNoMore() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(400);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "0"))).isEqualTo(SUCCEEDED);
      var pending = fixture.invokeAsync(NON_IDEMPOTENT, "1");
      until(() -> fixture.router().pendingRequests() == 1);

      Thread stop = new Thread(fixture.router()::stop);
      stop.start();

      assertThat(outcomeOf(pending.get())).isEqualTo(SUCCEEDED);
      stop.join(3000);
      assertThat(stop.isAlive()).isFalse();
    }
  }

  @Test
  void acceptsARequestWithAnIdempotencyKey() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      HttpResponse<String> response = fixture.invoke(KEYED, "1", "Idempotency-Key", "k1");
      assertThat(outcomeOf(response)).isEqualTo(SUCCEEDED);
    }
  }
}
