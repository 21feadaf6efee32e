package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.server.gateway.GatewayFixture.until;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.emulator.EndpointListService;
import switchgap.emulator.EventRecorder;
import switchgap.emulator.RealTimeScheduler;
import switchgap.net.NetworkTransport;

/** The list while calls run: gone, draining, back with a new process, and a service that is away. */
class EndpointListTest {
    @TempDir Path dir;

    private static EndpointListService.Entry line(String name, HttpTestServer p, String state) {
        return new EndpointListService.Entry(name, p.port(), state, "zone", 0, "", 1, 0);
    }

    @Test void goneDrainingAndBack() throws Exception {
        HttpTestServer.Behaviour slow = (q, out) -> {
            Thread.sleep(150);
            return HttpTestServer.well(q, out);
        };
        try (NetworkTransport net = new NetworkTransport(1, "list");
            RealTimeScheduler t = new RealTimeScheduler();
            EventRecorder log = new EventRecorder(dir.resolve("l"));
            HttpTestServer a = new HttpTestServer(slow); HttpTestServer b = new HttpTestServer(slow)) {
            EndpointListService list = new EndpointListService(t, net, log, 0);
            t.post(() -> list.put(line("w0", a, "ready")));
            try (GatewayFixture s = new GatewayFixture(
                "list: {port: " + list.port() + ", ask_again: 50ms}\n")) {
                until(() -> list.lines().size() == 1);
                Thread.sleep(200);
                assertThat(end(s.invoke("once-1", "1"))).isEqualTo("finished");
                CompletableFuture<HttpResponse<String>> out = s.later("once-1", "2");
                until(() -> a.infers() == 2);
                t.post(() -> { // gone with an execution out, and another one ready
                    list.put(line("w0", a, "gone"));
                    list.put(line("w1", b, "ready"));
                });
                assertThat(end(out.get())).isEqualTo("finished"); // its connection still answers
                Thread.sleep(100);
                assertThat(end(s.invoke("once-1", "3"))).isEqualTo("finished");
                assertThat(a.infers()).isEqualTo(2);
                t.post(() -> list.put(line("w1", b, "draining"))); // with no other one left
                Thread.sleep(100);
                long before = b.asked.size();
                assertThat(end(s.invoke("once-1", "4"))).isEqualTo("pushed-back");
                assertThat(b.asked).hasSize((int) before);
                t.post(() -> list.away(true)); // the last list stays
                Thread.sleep(200);
                assertThat(end(s.invoke("once-1", "5"))).isEqualTo("pushed-back");
                t.post(() -> {
                    list.put(new EndpointListService.Entry("w0", a.port(), "ready", "zone", 0, "", 1,
                        System.currentTimeMillis()));
                    list.away(false);
                });
                until(() -> {
                    try {
                        return end(s.invoke("again-1", "6")).equals("finished");
                    } catch (Exception e) {
                        return false;
                    }
                });
                assertThat(a.infers()).isGreaterThan(2); // a known name with a new process
            }
            list.close();
        }
    }

    /** Half open: the service's machine is gone without a word. It sounded like a fleet in which nothing changes, for ever. */
    @Test void aListServiceThatSaysNothingForLongIsAskedAnew() throws Exception {
        java.util.concurrent.atomic.AtomicInteger asked = new java.util.concurrent.atomic.AtomicInteger();
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            HttpTestServer service = new HttpTestServer((q, out) -> {
                int n = asked.incrementAndGet();
                String line = "{\"whole\":true,\"version\":" + n + ",\"workers\":[{\"name\":\"w0\",\"port\":"
                    + a.port() + ",\"state\":\""
                    + (n < 3 ? "ready" : "draining") + "\",\"zone\":\"zone\"}]}\n";
                out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes(
                        java.nio.charset.StandardCharsets.US_ASCII));
                out.flush();
                return HttpTestServer.silent(q, out);
            }); GatewayFixture s = new GatewayFixture(
                "list: {port: " + service.port() + ", ask_again: 20ms}\n")) {
            until(() -> asked.get() == 1);
            assertThat(end(s.invoke("once-1", "1"))).isEqualTo("finished"); // the last list stays meanwhile
            for (int i = 0; i < 300 && asked.get() < 3; i++) { Thread.sleep(10); }
            assertThat(asked.get()).isGreaterThanOrEqualTo(3);
            Thread.sleep(100);
            assertThat(end(s.invoke("once-1", "2"))).isEqualTo("pushed-back"); // the drain was learned
        }
    }
}
