package switchgap.protocol.inference;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import switchgap.net.HttpClientConnection;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.WorkerEntry;
import switchgap.server.gateway.HttpTestServer;

/** Steps of an exchange that two threads can take at once, taken one after the other in the worst order. */
class PendingExchangeTest {
    /** Given up by the loop between the carrier's look and its write: the link was kept by an exchange that nobody would end. */
    @Test void anExchangeAbandonedJustBeforeItGoesOutFreesItsLink() throws Exception {
        List<String> heard = new CopyOnWriteArrayList<>();
        try (NetworkTransport net = new NetworkTransport(1, "asked");
            HttpTestServer w = new HttpTestServer((q, out) -> q.line().contains("/first")
                ? HttpTestServer.silent(q, out) : HttpTestServer.well(q, out))) {
            HttpConnectionPool pool = new HttpConnectionPool(
                new HttpClientConnection.Factory(net, null, 1024),
                new InetSocketAddress("127.0.0.1", w.port()), 1, 10, Duration.ofSeconds(1));
            CompletableFuture<AttemptOutcome> given = new CompletableFuture<>();
            pool.ask(new Told(heard, "/first") {
                @Override synchronized boolean go(HttpClientConnection to) {
                    boolean goes = super.go(to);
                    given.complete(abandon());
                    return goes;
                }
            });
            assertThat(given.get(2, TimeUnit.SECONDS)).isEqualTo(AttemptOutcome.TIMED_OUT); // it may have gone out, and counts so
            pool.ask(new Told(heard, "/second"));
            for (int i = 0; i < 100 && heard.isEmpty(); i++) { Thread.sleep(10); }
            assertThat(heard).containsExactly("replied 200");
        }
    }

    private static class Told extends PendingExchange {
        private final List<String> heard;

        Told(List<String> heard, String path) {
            super(new WorkerEntry("w", "127.0.0.1", 1, 0), "GET", path, Map.of(), new byte[0]);
            this.heard = heard;
        }

        @Override void unsent(AttemptOutcome end, String why) { heard.add("unsent " + end); }

        @Override void replied(int status, Map<String, String> head, byte[] content) {
            heard.add("replied " + status);
        }

        @Override void lost(String why) { heard.add("lost"); }
    }
}
