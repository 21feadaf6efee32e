package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.testing.BoundedWait.until;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import switchgap.protocol.invoke.RequestCounts;

/**
 * The invoke API: what is refused and how, deferred requests, and that a bad client can't harm
 * others.
 */
class InvokeApiTest {
  @Test
  void invalidRequestsGetAProblemThatNamesTheReason() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      String[][] cases = {
        {"nothing", "", "", "404", "unknown-function"},
        {"again-1", "Switchgap-Workload", "none", "400", "unknown-workload"},
        {"again-1", "Switchgap-Customer", "stranger", "400", "unknown-customer"},
        {"again-1", "Switchgap-Time-Limit", "0", "400", "limit-past"},
        {"again-1", "Switchgap-Time-Limit", "-5", "400", "limit-past"},
        {"again-1", "Switchgap-Deadline", "1000", "400", "limit-past"},
        {"again-1", "Switchgap-Time-Limit", "soon", "400", "malformed-header"},
        {"again-1", "Switchgap-Time-Limit", "1e300", "400", "malformed-header"},
        {"again-1", "Switchgap-Cost-Hint", "x", "400", "malformed-header"},
        {"known-1", "X-Nothing", "x", "400", "fingerprint-missing"},
        {"again-1", "Idempotency-Key", "k".repeat(300), "400", "malformed-header"},
      };
      for (String[] example : cases) {
        HttpResponse<String> refusal =
            example[1].isEmpty()
                ? fixture.invoke(example[0], "{}")
                : fixture.invoke(example[0], "{}", example[1], example[2]);
        assertThat(refusal.statusCode()).as(example[4]).isEqualTo(Integer.parseInt(example[3]));
        assertThat(refusal.headers().firstValue("Content-Type"))
            .hasValue("application/problem+json");
        assertThat(refusal.body()).contains("urn:switchgap:problem:" + example[4]);
      }
      assertThat(fixture.get("/nowhere").statusCode()).isEqualTo(404);
      assertThat(fixture.get("/v1/functions/again-1/invoke").statusCode()).isEqualTo(405);
      assertThat(worker.inferenceRequestCount()).isZero();
      assertThat(fixture.gateway.pendingRequests()).isZero();
      HttpResponse<String> response =
          fixture.invoke("again-1", "7", "Switchgap-Call", "mine", "Switchgap-Customer", "shop");
      assertThat(response.body()).isEqualTo("{\"echo\":7}");
      assertThat(response.headers().firstValue("Switchgap-Call")).hasValue("mine");
    }
  }

  // A client of HTTP/2 offers an upgrade with its first request, and the HTTP filters then never
  // saw it as
  // complete.
  @Test
  void aRequestThatOffersAnHttp2UpgradeIsHandledAsHttp1() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      var client = HttpClient.newHttpClient();
      var bodies = HttpResponse.BodyHandlers.ofString();
      for (int i = 0; i < 2; i++) {
        assertThat(
                client
                    .send(fixture.to("/healthz").timeout(Duration.ofSeconds(3)).build(), bodies)
                    .body())
            .isEqualTo("ok\n");
        assertThat(
                client
                    .send(
                        fixture
                            .to("/v1/functions/again-1/invoke")
                            .timeout(Duration.ofSeconds(3))
                            .POST(HttpRequest.BodyPublishers.ofString("7"))
                            .build(),
                        bodies)
                    .body())
            .isEqualTo("{\"echo\":7}");
      }
    }
  }

  @Test
  void oversizedSlowAndExcessConnectionsAreRefusedWithoutAffectingOthers() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            new GatewayFixture(
                "listen: {port: 0, body_bytes: 1000, header_bytes: 2048, connections: 4, arrival:"
                    + " 300ms}\n",
                worker)) {
      assertThat(fixture.invoke("again-1", "x".repeat(2000)).statusCode()).isEqualTo(413);
      assertThat(
              raw(
                  fixture,
                  "POST /v1/functions/again-1/invoke HTTP/1.1\r\nHost: x\r\nX: "
                      + "y".repeat(4000)
                      + "\r\n\r\n"))
          .doesNotContain("200 OK");
      assertThat(raw(fixture, "not http at all\r\n\r\n")).doesNotContain("200 OK");
      long startNanos = System.nanoTime();
      // half a request, then nothing
      try (Socket slow = new Socket("127.0.0.1", fixture.gateway.port())) {
        slow.getOutputStream()
            .write(
                "POST /v1/functions/again-1/invoke HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"
                    .getBytes(StandardCharsets.US_ASCII));
        slow.setSoTimeout(3000);
        assertThat(slow.getInputStream().read()).isEqualTo(-1);
      }
      assertThat((System.nanoTime() - startNanos) / 1_000_000).isBetween(200L, 2500L);
      Socket[] many = new Socket[8];
      for (int i = 0; i < 8; i++) {
        many[i] = new Socket("127.0.0.1", fixture.gateway.port());
      }
      Thread.sleep(200);
      int cut = 0;
      for (Socket client : many) {
        client.setSoTimeout(50);
        try {
          cut += client.getInputStream().read() < 0 ? 1 : 0;
        } catch (SocketTimeoutException e) {
          cut += 0;
        } catch (SocketException e) {
          cut++;
        }
      }
      assertThat(cut).isGreaterThanOrEqualTo(4);
      for (Socket client : many) {
        client.close();
      }
      Thread.sleep(100);
      assertThat(end(fixture.invoke("again-1", "1"))).isEqualTo("finished");
    }
  }

  private static String raw(GatewayFixture fixture, String request) throws Exception {
    try (Socket client = new Socket("127.0.0.1", fixture.gateway.port())) {
      client.setSoTimeout(1500);
      OutputStream out = client.getOutputStream();
      out.write(request.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      InputStream in = client.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "";
    }
  }

  @Test
  void requestsBeyondTheMaximumPendingAreNotAccepted() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(300);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture = new GatewayFixture("holds: {calls: 2}\n", worker)) {
      var one = fixture.later("once-1", "1");
      var two = fixture.later("once-1", "2");
      until(() -> fixture.gateway.pendingRequests() == 2);
      HttpResponse<String> three = fixture.invoke("once-1", "3");
      assertThat(three.statusCode()).isEqualTo(503);
      assertThat(three.body()).contains("not-taken").contains("\"repeat_harmless\":true");
      assertThat(end(one.get())).isEqualTo("finished");
      assertThat(end(two.get())).isEqualTo("finished");
    }
  }

  @Test
  void aDeferredRequestIsAcceptedPolledAndExpires() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(200);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture =
            new GatewayFixture("holds: {results_kept: 600ms, deferred: 2}\n", worker)) {
      HttpResponse<String> response = fixture.invoke("once-1", "5", "Prefer", "respond-async");
      assertThat(response.statusCode()).isEqualTo(202);
      String at = response.headers().firstValue("Location").orElseThrow();
      assertThat(fixture.get(at).statusCode()).isEqualTo(202);
      HttpResponse<String> done = fixture.get(at, "Prefer", "wait=5");
      assertThat(done.statusCode()).isEqualTo(200);
      assertThat(done.body()).isEqualTo("{\"echo\":5}");
      assertThat(fixture.get(at).body()).isEqualTo("{\"echo\":5}");
      Thread.sleep(700);
      assertThat(fixture.get(at).statusCode()).isEqualTo(410);
      assertThat(fixture.get("/v1/calls/other").statusCode()).isEqualTo(404);
      assertThat(fixture.get(at.replaceAll("d0$", "d99")).statusCode()).isEqualTo(404);
      String second =
          fixture
              .invoke("once-1", "6", "Prefer", "respond-async")
              .headers()
              .firstValue("Location")
              .orElseThrow();
      assertThat(
              fixture
                  .client
                  .send(fixture.to(second).DELETE().build(), HttpResponse.BodyHandlers.ofString())
                  .statusCode())
          .isEqualTo(204);
      assertThat(fixture.get(second).statusCode()).isEqualTo(410);
      until(() -> fixture.gateway.pendingRequests() == 0);
    }
  }

  @Test
  void tenThousandDeferredRequestsAllEndAtTheirDeadlines() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::silent);
        GatewayFixture fixture =
            new GatewayFixture("holds: {calls: 20000, deferred: 20000}\n", worker)) {
      List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
      for (int i = 0; i < 10_000; i++) {
        all.add(fixture.later(i % 2 == 0 ? "once-1" : "again-1", "1", "Prefer", "respond-async"));
        if (i % 200 == 199) {
          all.get(i).get();
        }
      }
      String last = "";
      for (var future : all) {
        assertThat(future.get().statusCode()).isEqualTo(202);
        last = future.get().headers().firstValue("Location").orElseThrow();
      }
      assertThat(fixture.get(last, "Prefer", "wait=5").statusCode()).isIn(503, 504);
      until(() -> fixture.gateway.pendingRequests() == 0);
      RequestCounts counts = fixture.gateway.requestCounts();
      assertThat(counts.rejected() + counts.failed() + counts.overdue()).isEqualTo(10_000);
      // a machine that pauses for longer than a response's margin leaves some overdue
      assertThat(counts.overdue()).isLessThan(500);
    }
  }

  @Test
  void stoppingCompletesPendingRequestsAndAcceptsNoMore() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(400);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(end(fixture.invoke("once-1", "0"))).isEqualTo("finished");
      var pending = fixture.later("once-1", "1");
      until(() -> fixture.gateway.pendingRequests() == 1);
      Thread stop = new Thread(fixture.gateway::stop);
      stop.start();
      assertThat(end(pending.get())).isEqualTo("finished");
      stop.join(3000);
      assertThat(stop.isAlive()).isFalse();
    }
  }

  @Test
  void anIdempotencyKeyIsAccepted() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      HttpRequest keyed =
          fixture
              .to("/v1/functions/known-1/invoke")
              .header("Idempotency-Key", "k1")
              .POST(HttpRequest.BodyPublishers.ofString("1"))
              .build();
      assertThat(end(fixture.client.send(keyed, HttpResponse.BodyHandlers.ofString())))
          .isEqualTo("finished");
    }
  }
}
