package switchgap.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import switchgap.net.ConnectionLimits;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.NetworkTransport;

/** The baseline: passes each request on to one of the workers in turn, through the same filter chains, deciding nothing. */
final class BareRelay implements HttpServer.RequestHandler {
    private final HttpClientConnection.Factory opener;
    private final InetSocketAddress[] workers;
    private final ConcurrentLinkedDeque<HttpClientConnection>[] idle;
    private final AtomicInteger turn = new AtomicInteger();

    @SuppressWarnings({"unchecked"}) private BareRelay(NetworkTransport net, InetSocketAddress[] workers) {
        this.opener = new HttpClientConnection.Factory(net, null, 4 << 20);
        this.workers = workers;
        this.idle = new ConcurrentLinkedDeque[workers.length];
        for (int i = 0; i < idle.length; i++) { idle[i] = new ConcurrentLinkedDeque<>(); }
    }

    /** Listens at the port until the process ends. */
    static void serve(int port, InetSocketAddress[] workers, int selectors) throws IOException {
        NetworkTransport net = new NetworkTransport(selectors, "relay");
        new HttpServer(net, ConnectionLimits.DEFAULT, new BareRelay(net, workers)).listen("127.0.0.1", port);
    }

    @Override public void handle(HttpExchange r) {
        int w = Math.floorMod(turn.getAndIncrement(), workers.length);
        HttpClientConnection l = idle[w].poll();
        if (l != null && l.isUsable()) {
            pass(r, l, w);
            return;
        }
        opener.connect(workers[w], Duration.ofSeconds(1), new HttpClientConnection.ConnectCallback() {
            @Override public void connected(HttpClientConnection link) { pass(r, link, w); }

            @Override public void failed(String why) { r.drop(); }
        });
    }

    private void pass(HttpExchange r, HttpClientConnection l, int w) {
        boolean took = l.send("POST", "/v2/models/f/infer", Map.of("Content-Type", "application/json"),
            r.body,
            new HttpClientConnection.ResponseHandler() {
                @Override public void responded(int status, Map<String, String> h, byte[] body,
                    boolean reusable) {
                    if (reusable) { idle[w].push(l); }
                    r.respond(status, Map.of("Content-Type", "application/json"), body);
                }

                @Override public void connectionLost(String why) { r.drop(); }
            });
        if (!took) { r.drop(); }
    }
}
