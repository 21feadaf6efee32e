package switchgap.emulator;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import switchgap.net.HttpClientConnection;
import switchgap.net.NetworkTransport;

/** Tries over sockets. After its limit a client listens on for a while, so that a late answer is seen and logged. */
public final class SocketClientTransport implements ClientTransport {
    private static final long LISTENS_ON = 300_000;
    private static final Duration CONNECT = Duration.ofMillis(500);

    private static final class ClientConnection {
        final ArrayDeque<HttpClientConnection> idle = new ArrayDeque<>();
        InetSocketAddress at;
    }

    private final Scheduler ticker;
    private final EventRecorder record;
    private final HttpClientConnection.Factory opener;
    private final ClientConnection[] lines;

    public SocketClientTransport(Scheduler ticker, NetworkTransport net, EventRecorder record, int routers) {
        this.ticker = ticker;
        this.record = record;
        this.opener = new HttpClientConnection.Factory(net, null, 1 << 20);
        this.lines = new ClientConnection[routers];
        for (int i = 0; i < routers; i++) { lines[i] = new ClientConnection(); }
    }

    /** Where a router listens. */
    public void router(int number, InetSocketAddress at) {
        lines[number].at = at;
    }

    /** The same on the loopback address. */
    public void router(int number, int port) {
        router(number, new InetSocketAddress("127.0.0.1", port));
    }

    @Override public void send(ClientAttempt t, ResultHandler then) {
        ClientConnection line = lines[t.router()];
        PendingTry out = new PendingTry(t, line, then);
        HttpClientConnection l = line.idle.pollFirst();
        while (l != null && !l.isUsable()) { l = line.idle.pollFirst(); }
        if (l != null) {
            out.ask(l);
            return;
        }
        opener.connect(line.at, CONNECT, new HttpClientConnection.ConnectCallback() {
            @Override public void connected(HttpClientConnection link) { ticker.post(() -> out.ask(link)); }

            @Override public void failed(String why) { ticker.post(() -> out.over("unreachable", 0, -1)); }
        });
    }

    private final class PendingTry implements HttpClientConnection.ResponseHandler {
        private final ClientAttempt t;
        private final ClientConnection line;
        private final ResultHandler then;
        private HttpClientConnection link;
        private boolean over;

        PendingTry(ClientAttempt t, ClientConnection line, ResultHandler then) {
            this.t = t;
            this.line = line;
            this.then = then;
        }

        void ask(HttpClientConnection l) {
            link = l;
            long now = ticker.now();
            Map<String, String> h = new HashMap<>();
            h.put("Content-Type", "application/json");
            h.put("Switchgap-Call", t.call());
            h.put("Switchgap-Customer", t.customer());
            h.put("Switchgap-Time-Limit", String.valueOf((t.limit() - now) / 1000.0));
            h.put("Switchgap-Deadline", String.valueOf(t.limit() / 1000));
            h.put("Switchgap-Cost-Hint", String.valueOf(t.model().work() / 1000));
            if (t.key() != null) { h.put("Idempotency-Key", t.key()); }
            byte[] body = ("{\"id\":\"" + t.call() + "\",\"inputs\":[]}").getBytes(StandardCharsets.UTF_8);
            record.line(now, "call", "call", t.call(), "job", t.job(), "router", t.router(), "workload",
                t.model().workload(),
                "function", t.model().name(), "customer", t.customer(), "limit", t.limit());
            if (!l.send("POST", "/v1/functions/" + t.model().name() + "/invoke", h, body, this)) {
                over("unreachable", 0, -1);
                return;
            }
            ticker.after(t.limit() - now, () -> {
                if (!over) {
                    over("gave-up", 0, -1);
                    ticker.after(LISTENS_ON, () -> link.abandon(this));
                }
            });
        }

        @Override public void responded(int status, Map<String, String> head, byte[] body, boolean reusable) {
            long at = ticker.now();
            ticker.post(() -> {
                if (reusable) { line.idle.addFirst(link); }
                String end = head.getOrDefault("switchgap-end", "refused");
                if (over) {
                    record.line(at, "late-answer", "call", t.call(), "status", status, "end", end);
                } else {
                    over(end, status, Long.parseLong(head.getOrDefault("switchgap-come-back", "-1")));
                }
            });
        }

        @Override public void connectionLost(String why) {
            ticker.post(() -> {
                if (!over) { over("broken", 0, -1); }
            });
        }

        private void over(String end, int status, long comeBack) {
            over = true;
            record.line(ticker.now(), "answer", "call", t.call(), "job", t.job(), "router", t.router(), "end",
                end,
                "status", status);
            then.ended(end, status, comeBack);
        }
    }
}
