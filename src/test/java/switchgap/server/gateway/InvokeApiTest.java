package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.server.gateway.GatewayFixture.until;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import switchgap.protocol.invoke.RequestCounts;

/** The invoke API: what is refused and how, deferred calls, and what a bad client can't do to others. */
class InvokeApiTest {
    @Test void badInputGetsAClearProblem() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture("", a)) {
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
            for (String[] c : cases) {
                HttpResponse<
                    String> r = c[1].isEmpty() ? s.invoke(c[0], "{}") : s.invoke(c[0], "{}", c[1], c[2]);
                assertThat(r.statusCode()).as(c[4]).isEqualTo(Integer.parseInt(c[3]));
                assertThat(r.headers().firstValue("Content-Type")).hasValue("application/problem+json");
                assertThat(r.body()).contains("urn:switchgap:problem:" + c[4]);
            }
            assertThat(s.get("/nowhere").statusCode()).isEqualTo(404);
            assertThat(s.get("/v1/functions/again-1/invoke").statusCode()).isEqualTo(405);
            assertThat(a.infers()).isZero();
            assertThat(s.gateway.held()).isZero();
            HttpResponse<
                String> r = s.invoke("again-1", "7", "Switchgap-Call", "mine", "Switchgap-Customer", "shop");
            assertThat(r.body()).isEqualTo("{\"echo\":7}");
            assertThat(r.headers().firstValue("Switchgap-Call")).hasValue("mine");
        }
    }

    // A client of HTTP/2 offers an upgrade with its first request, which the filters then never called whole.
    @Test void aRequestThatOffersAnUpgradeIsAnsweredAsAPlainOne() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture("", a)) {
            var client = java.net.http.HttpClient.newHttpClient();
            var bodies = java.net.http.HttpResponse.BodyHandlers.ofString();
            for (int i = 0; i < 2; i++) {
                assertThat(client.send(s.to("/healthz").timeout(java.time.Duration.ofSeconds(3)).build(),
                    bodies).body()).isEqualTo("ok\n");
                assertThat(
                    client.send(
                        s.to("/v1/functions/again-1/invoke").timeout(java.time.Duration.ofSeconds(3)).POST(
                            java.net.http.HttpRequest.BodyPublishers.ofString("7")).build(),
                        bodies).body()).isEqualTo("{\"echo\":7}");
            }
        }
    }

    @Test void tooMuchIsRefusedAndDisturbsNobody() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture(
                "listen: {port: 0, body_bytes: 1000, header_bytes: 2048, connections: 4, arrival: 300ms}\n",
                a)) {
            assertThat(s.invoke("again-1", "x".repeat(2000)).statusCode()).isEqualTo(413);
            assertThat(raw(s,
                "POST /v1/functions/again-1/invoke HTTP/1.1\r\nHost: x\r\nX: " + "y".repeat(4000)
                    + "\r\n\r\n")).doesNotContain("200 OK");
            assertThat(raw(s, "not http at all\r\n\r\n")).doesNotContain("200 OK");
            long t = System.nanoTime();
            try (Socket slow = new Socket("127.0.0.1", s.gateway.port())) { // half a request, then nothing
                slow.getOutputStream().write(
                    "POST /v1/functions/again-1/invoke HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{".getBytes(
                        StandardCharsets.US_ASCII));
                slow.setSoTimeout(3000);
                assertThat(slow.getInputStream().read()).isEqualTo(-1);
            }
            assertThat((System.nanoTime() - t) / 1_000_000).isBetween(200L, 2500L);
            Socket[] many = new Socket[8];
            for (int i = 0; i < 8; i++) { many[i] = new Socket("127.0.0.1", s.gateway.port()); }
            Thread.sleep(200);
            int cut = 0;
            for (Socket c : many) {
                c.setSoTimeout(50);
                try {
                    cut += c.getInputStream().read() < 0 ? 1 : 0;
                } catch (java.net.SocketTimeoutException e) {
                    cut += 0;
                } catch (java.net.SocketException e) {
                    cut++;
                }
            }
            assertThat(cut).isGreaterThanOrEqualTo(4);
            for (Socket c : many) { c.close(); }
            Thread.sleep(100);
            assertThat(end(s.invoke("again-1", "1"))).isEqualTo("finished");
        }
    }

    private static String raw(GatewayFixture s, String request) throws Exception {
        try (Socket c = new Socket("127.0.0.1", s.gateway.port())) {
            c.setSoTimeout(1500);
            OutputStream out = c.getOutputStream();
            out.write(request.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            InputStream in = c.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        } catch (java.io.IOException e) {
            return "";
        }
    }

    @Test void tooManyHeldCallsArePushedBackUntaken() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            Thread.sleep(300);
            return HttpTestServer.well(q, out);
        }); GatewayFixture s = new GatewayFixture("holds: {calls: 2}\n", a)) {
            var one = s.later("once-1", "1");
            var two = s.later("once-1", "2");
            until(() -> s.gateway.held() == 2);
            HttpResponse<String> three = s.invoke("once-1", "3");
            assertThat(three.statusCode()).isEqualTo(503);
            assertThat(three.body()).contains("not-taken").contains("\"repeat_harmless\":true");
            assertThat(end(one.get())).isEqualTo("finished");
            assertThat(end(two.get())).isEqualTo("finished");
        }
    }

    @Test void aDeferredCallIsAcceptedPolledAndGoneInTime() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            Thread.sleep(200);
            return HttpTestServer.well(q, out);
        }); GatewayFixture s = new GatewayFixture("holds: {results_kept: 600ms, deferred: 2}\n", a)) {
            HttpResponse<String> r = s.invoke("once-1", "5", "Prefer", "respond-async");
            assertThat(r.statusCode()).isEqualTo(202);
            String at = r.headers().firstValue("Location").orElseThrow();
            assertThat(s.get(at).statusCode()).isEqualTo(202);
            HttpResponse<String> done = s.get(at, "Prefer", "wait=5");
            assertThat(done.statusCode()).isEqualTo(200);
            assertThat(done.body()).isEqualTo("{\"echo\":5}");
            assertThat(s.get(at).body()).isEqualTo("{\"echo\":5}");
            Thread.sleep(700);
            assertThat(s.get(at).statusCode()).isEqualTo(410);
            assertThat(s.get("/v1/calls/other").statusCode()).isEqualTo(404);
            assertThat(s.get(at.replaceAll("d0$", "d99")).statusCode()).isEqualTo(404);
            String second = s.invoke("once-1", "6", "Prefer", "respond-async").headers().firstValue(
                "Location").orElseThrow();
            assertThat(s.client.send(s.to(second).DELETE().build(),
                java.net.http.HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(204);
            assertThat(s.get(second).statusCode()).isEqualTo(410);
            until(() -> s.gateway.held() == 0);
        }
    }

    @Test void tenThousandDeferredCallsAreAllAnsweredAtTheirLimits() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::silent);
            GatewayFixture s = new GatewayFixture("holds: {calls: 20000, deferred: 20000}\n", a)) {
            java.util.List<java.util.concurrent.CompletableFuture<
                HttpResponse<String>>> all = new java.util.ArrayList<>();
            for (int i = 0; i < 10_000; i++) {
                all.add(s.later(i % 2 == 0 ? "once-1" : "again-1", "1", "Prefer", "respond-async"));
                if (i % 200 == 199) { all.get(i).get(); }
            }
            String last = "";
            for (var f : all) {
                assertThat(f.get().statusCode()).isEqualTo(202);
                last = f.get().headers().firstValue("Location").orElseThrow();
            }
            assertThat(s.get(last, "Prefer", "wait=5").statusCode()).isIn(503, 504);
            until(() -> s.gateway.held() == 0);
            RequestCounts counts = s.gateway.requestCounts();
            assertThat(counts.rejected() + counts.failed() + counts.overdue()).isEqualTo(10_000);
            assertThat(counts.overdue()).isLessThan(500); // a machine that stops for longer than an answer's margin leaves some overdue
        }
    }

    @Test void stoppingAnswersWhatIsHeldAndTakesNothingMore() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            Thread.sleep(400);
            return HttpTestServer.well(q, out);
        }); GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(end(s.invoke("once-1", "0"))).isEqualTo("finished");
            var held = s.later("once-1", "1");
            until(() -> s.gateway.held() == 1);
            Thread stop = new Thread(s.gateway::stop);
            stop.start();
            assertThat(end(held.get())).isEqualTo("finished");
            stop.join(3000);
            assertThat(stop.isAlive()).isFalse();
        }
    }

    @Test void aFingerprintGoesWithTheExecution() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture("", a)) {
            HttpRequest r = s.to("/v1/functions/known-1/invoke").header("Idempotency-Key", "k1").POST(
                HttpRequest.BodyPublishers.ofString("1")).build();
            assertThat(end(s.client.send(r, HttpResponse.BodyHandlers.ofString()))).isEqualTo("finished");
        }
    }
}
