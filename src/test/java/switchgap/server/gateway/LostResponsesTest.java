package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.server.gateway.GatewayFixture.until;

import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What workers do to answers on the socket, and what the router makes of it: rules 1 and 2. */
class LostResponsesTest {
    private static final String NOT_RUN = "endpoint-load-metrics: TEXT named_metrics.executed=0\r\n";

    @Test void aLostAnswerOfARunOnceJobIsKilledInTimeAndNeverExecutedAgain() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::silent);
            HttpTestServer b = new HttpTestServer(HttpTestServer::silent);
            GatewayFixture s = new GatewayFixture("", a, b)) {
            long t = System.nanoTime();
            HttpResponse<String> r = s.invoke("once-1", "{}");
            assertThat(end(r)).isEqualTo("killed");
            assertThat(r.statusCode()).isEqualTo(504);
            assertThat(r.body()).contains("\"repeat_harmless\":false");
            assertThat((System.nanoTime() - t) / 1_000_000).isLessThan(2500); // the limit, and a machine that other work fills
            assertThat(a.infers() + b.infers()).isEqualTo(1);
        }
    }

    @Test void aConnectionClosedJustAsARequestIsWrittenMayHaveRun() throws Exception {
        AtomicInteger n = new AtomicInteger();
        HttpTestServer.Behaviour second = (q, out) -> n.incrementAndGet() != 2 && HttpTestServer.well(q, out);
        try (HttpTestServer a = new HttpTestServer(second); GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(end(s.invoke("once-1", "1"))).isEqualTo("finished");
            assertThat(end(s.invoke("once-1", "2"))).isEqualTo("killed"); // on the kept connection, which closes
            assertThat(a.infers()).isEqualTo(2);
        }
        n.set(0);
        try (HttpTestServer a = new HttpTestServer(second); GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(end(s.invoke("again-1", "1"))).isEqualTo("finished");
            assertThat(end(s.invoke("again-1", "2"))).isEqualTo("finished"); // a restartable one runs again
            assertThat(a.infers()).isEqualTo(3);
        }
    }

    @Test void halfAnAnswerThenSilenceEndsBeforeTheLimit() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            out.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            return HttpTestServer.silent(q, out);
        }); GatewayFixture s = new GatewayFixture("", a)) {
            long t = System.nanoTime();
            assertThat(end(s.invoke("once-1", "{}"))).isEqualTo("killed");
            assertThat((System.nanoTime() - t) / 1_000_000).isLessThan(2500); // the limit, and a machine that other work fills
        }
    }

    @Test void aSecondAnswerToARequestIsNeverReadAsTheNextOnes() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            byte[] one = HttpTestServer.ok(q, q.body());
            byte[] both = java.util.Arrays.copyOf(one, 2 * one.length);
            System.arraycopy(one, 0, both, one.length, one.length);
            out.write(both);
            return true;
        }); GatewayFixture s = new GatewayFixture("", a)) {
            for (int i = 0; i < 40; i++) {
                HttpResponse<String> r = s.invoke("again-1", "\"call " + i + "\"");
                if (end(r).equals("finished")) { assertThat(r.body()).isEqualTo("\"call " + i + "\""); }
            }
            List<CompletableFuture<HttpResponse<String>>> many = new ArrayList<>();
            for (int i = 0; i < 60; i++) { many.add(s.later("again-1", "\"both " + i + "\"")); }
            for (int i = 0; i < 60; i++) {
                HttpResponse<String> r = many.get(i).get();
                if (end(r).equals("finished")) { assertThat(r.body()).isEqualTo("\"both " + i + "\""); }
            }
        }
    }

    @Test void anAnswerLargerThanStatedIsCutAndItsConnectionIsNotUsedAgain() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}{\"more\":1}".getBytes(
                StandardCharsets.US_ASCII));
            return true;
        }); GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(s.invoke("again-1", "1").body()).isEqualTo("{}");
            Thread.sleep(50);
            assertThat(s.invoke("again-1", "2").body()).isEqualTo("{}");
            assertThat(a.asked.stream().map(
                HttpTestServer.ReceivedRequest::connection).distinct().count()).isEqualTo(2);
        }
    }

    @Test void theAnswerToAnotherRequestIsNotTaken() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            out.write(HttpTestServer.http(200, "X-Request-Id: somebody-elses.0\r\n", "\"wrong\""));
            return true;
        }); GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(end(s.invoke("once-1", "{}"))).isEqualTo("killed");
        }
    }

    @Test void aMissCountsOnlyWhereTheWorkerSaysThatNothingRan() throws Exception {
        AtomicInteger n = new AtomicInteger();
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            if (!q.line().contains("/infer") || n.incrementAndGet() > 1) {
                return HttpTestServer.well(q, out);
            }
            out.write(HttpTestServer.http(404, NOT_RUN, "{}"));
            return true;
        }); GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(end(s.invoke("once-1", "{}"))).isEqualTo("finished"); // ordered, then executed
            assertThat(a.asked.stream().map(HttpTestServer.ReceivedRequest::line)).anyMatch(
                l -> l.contains("/v2/repository/models/once-1/load"));
        }
        for (int status : new int[] {404, 429, 500, 503}) { // without the proof each may have run
            try (HttpTestServer a = new HttpTestServer((q, out) -> {
                out.write(HttpTestServer.http(status, "", "{}"));
                return true;
            }); GatewayFixture s = new GatewayFixture("", a)) {
                assertThat(end(s.invoke("once-1", "{}"))).as("status %d", status).isEqualTo("killed");
                assertThat(a.infers()).isEqualTo(1);
            }
        }
    }

    @Test void aLateAnswerReachesNobody() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            if (q.body().contains("slow")) { Thread.sleep(1300); }
            return HttpTestServer.well(q, out);
        }); GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(end(s.invoke("once-1", "\"slow\""))).isEqualTo("killed");
            for (int i = 0; i < 20; i++) {
                HttpResponse<String> r = s.invoke("once-1", "\"call " + i + "\"");
                assertThat(r.body()).isEqualTo("{\"echo\":\"call " + i + "\"}");
                Thread.sleep(20);
            }
        }
    }

    @Test void aWorkerThatCantBeReachedProvesThatNothingRan() throws Exception {
        int dead;
        try (HttpTestServer gone = new HttpTestServer(HttpTestServer::silent)) {
            dead = gone.port();
        }
        try (HttpTestServer b = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture("list:\n  workers:\n    - {name: dead, port: " + dead
                + "}\n    - {name: well, port: " + b.port() + "}\n")) {
            for (int i = 0; i < 8; i++) {
                assertThat(end(s.invoke("once-" + i, "{}"))).isEqualTo("finished");
            }
            assertThat(b.infers()).isEqualTo(8);
        }
    }

    @Test void aClientGoneBeforeDuringOrAfterTheSendLeavesNothingBehind() throws Exception {
        try (HttpTestServer a = new HttpTestServer((q, out) -> {
            Thread.sleep(100);
            return HttpTestServer.well(q, out);
        }); GatewayFixture s = new GatewayFixture("", a)) {
            for (int wait : new int[] {0, 1, 20, 50, 100, 105}) {
                try (Socket c = new Socket("127.0.0.1", s.gateway.port())) {
                    OutputStream out = c.getOutputStream();
                    out.write(
                        "POST /v1/functions/once-1/invoke HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}".getBytes(
                            StandardCharsets.US_ASCII));
                    out.flush();
                    Thread.sleep(wait);
                }
            }
            until(() -> s.gateway.held() == 0);
            assertThat(end(s.invoke("once-1", "{}"))).isEqualTo("finished");
        }
    }

    @Test void answersDroppedAtRandomEndEachCallOnceAndRunNoNoticeTwice() throws Exception {
        java.util.Random chance = new java.util.Random(5);
        HttpTestServer.Behaviour drops = (q, out) -> {
            boolean lost;
            synchronized (chance) {
                lost = chance.nextInt(4) == 0;
            }
            return !lost && HttpTestServer.well(q, out);
        };
        try (HttpTestServer a = new HttpTestServer(drops); HttpTestServer b = new HttpTestServer(drops);
            HttpTestServer c = new HttpTestServer(drops);
            GatewayFixture s = new GatewayFixture("", a, b, c)) {
            List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                all.add(s.later(i % 2 == 0 ? "once-1" : "again-1", "\"n" + i + ".\""));
                if (i % 10 == 9) { Thread.sleep(20); }
            }
            AtomicInteger finished = new AtomicInteger();
            for (int i = 0; i < 200; i++) {
                String end = end(all.get(i).get());
                assertThat(end).isIn("finished", "pushed-back", "killed");
                finished.addAndGet(end.equals("finished") ? 1 : 0);
                String body = "n" + i + ".";
                long runs = List.of(a, b, c).stream().flatMap(p -> p.asked.stream()).filter(
                    q -> q.body().contains(body)).count();
                if (i % 2 == 0) { assertThat(runs).as(body).isLessThanOrEqualTo(1); }
                if (i % 2 == 0 && end.equals("pushed-back")) { assertThat(runs).as(body).isZero(); }
            }
            assertThat(finished.get()).isGreaterThan(100);
            assertThat(s.gateway.requestCounts().total()).isEqualTo(200);
        }
    }
}
