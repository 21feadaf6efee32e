package switchgap.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.net.ConnectionLimits;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.NetworkTransport;

/** The store on a socket: {@code GET /v1/functions/NAME?worker=W&micros=N}, 200 when fetched, 503 when refused. */
public final class StoreService implements HttpServer.RequestHandler, AutoCloseable {
    private static final byte[] BLOB = new byte[1024];
    private static final Map<String, String> HEAD = Map.of("Content-Type", "application/octet-stream");
    private final Scheduler ticker;
    private final EmulatedStore store;
    private final HttpServer door;
    private final int port;

    public StoreService(Scheduler ticker, NetworkTransport net, EmulatedStore store) throws IOException {
        this.ticker = ticker;
        this.store = store;
        door = new HttpServer(net, ConnectionLimits.DEFAULT, this);
        port = door.listen("127.0.0.1", 0);
    }

    public int port() { return port; }

    @Override public void handle(HttpExchange r) {
        ticker.post(() -> {
            String worker = r.queryParameter("worker");
            String micros = r.queryParameter("micros");
            if (worker == null || micros == null || !r.path.startsWith("/v1/functions/")) {
                r.respond(404, HEAD, new byte[0]);
                return;
            }
            store.fetch(worker, r.path.substring("/v1/functions/".length()), Long.parseLong(micros),
                got -> r.respond(got ? 200 : 503, HEAD, got ? BLOB : new byte[0]));
        });
    }

    @Override public void close() { door.close(); }

    /** A worker's way to the store: a kept link for each fetch that is out. */
    public static final class Client implements FunctionFetcher {
        private static final Duration CONNECT = Duration.ofSeconds(1);
        private final Scheduler ticker;
        private final HttpClientConnection.Factory opener;
        private final InetSocketAddress at;
        private final ArrayDeque<HttpClientConnection> idle = new ArrayDeque<>();

        public Client(Scheduler ticker, NetworkTransport net, int port) {
            this.ticker = ticker;
            this.opener = new HttpClientConnection.Factory(net, null, 1 << 20);
            this.at = new InetSocketAddress("127.0.0.1", port);
        }

        @Override public void fetch(String worker, String function, long micros, Consumer<Boolean> then) {
            HttpClientConnection l = idle.pollFirst();
            while (l != null && !l.isUsable()) { l = idle.pollFirst(); }
            String path = "/v1/functions/" + function + "?worker=" + worker + "&micros=" + micros;
            if (l != null) {
                ask(l, path, then);
                return;
            }
            opener.connect(at, CONNECT, new HttpClientConnection.ConnectCallback() {
                @Override public void connected(HttpClientConnection link) {
                    ticker.post(() -> ask(link, path, then));
                }

                @Override public void failed(String why) { ticker.post(() -> then.accept(false)); }
            });
        }

        private void ask(HttpClientConnection l, String path, Consumer<Boolean> then) {
            boolean took = l.send("GET", path, Map.of(), new byte[0],
                new HttpClientConnection.ResponseHandler() {
                    @Override public void responded(int status, Map<String, String> h, byte[] body,
                        boolean reusable) {
                        ticker.post(() -> {
                            if (reusable) { idle.addFirst(l); }
                            then.accept(status == 200);
                        });
                    }

                    @Override public void connectionLost(
                        String why) { ticker.post(() -> then.accept(false)); }
                });
            if (!took) { then.accept(false); }
        }
    }
}
