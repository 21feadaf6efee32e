package switchgap.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.net.ConnectionLimits;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.NetworkTransport;

/** Pushes the list of workers over held requests: the whole list first, then each change, late by a stated span. */
public final class EndpointListService implements HttpServer.RequestHandler {
    /** One line of the list; {@code started} in milliseconds of wall time, 0 where long past. */
    public record Entry(String name, int port, String state, String zone, int cell, String kind, double size,
        long started) {
        String json() {
            return "{\"name\":\"" + name + "\",\"host\":\"127.0.0.1\",\"port\":" + port + ",\"state\":\""
                + state
                + "\",\"zone\":\"" + zone + "\",\"cell\":" + cell + ",\"kind\":\"" + kind + "\",\"size\":"
                + size
                + (started == 0 ? "" : ",\"started\":" + started) + "}";
        }
    }

    private static final class Watcher {
        final HttpExchange request;
        final int router;
        final ArrayDeque<Entry> due = new ArrayDeque<>();
        long version;
        long busyUntil;

        Watcher(HttpExchange request, int router) {
            this.request = request;
            this.router = router;
        }
    }

    private final Scheduler ticker;
    private final EventRecorder record;
    private final Map<String, Entry> lines = new LinkedHashMap<>();
    private final Map<HttpExchange, Watcher> watchers = new LinkedHashMap<>();
    private final HttpServer door;
    private final int port;
    private long lag;
    private boolean away;

    /** Changes reach each router after {@code lag} microseconds. */
    public EndpointListService(Scheduler ticker, NetworkTransport net, EventRecorder record, long lag)
        throws IOException {
        this.ticker = ticker;
        this.record = record;
        this.lag = lag;
        door = new HttpServer(net, ConnectionLimits.DEFAULT, this);
        port = door.listen("127.0.0.1", 0);
    }

    public int port() { return port; }

    public void lag(long micros) { lag = micros; }

    public Collection<Entry> lines() { return List.copyOf(lines.values()); }

    /** Away: held requests end, new ones are cut. */
    public void away(boolean is) {
        away = is;
        if (is) {
            List.copyOf(watchers.keySet()).forEach(HttpExchange::drop);
            watchers.clear();
        }
    }

    /** Changes one line; those who watch hear of it after the lag, in order. */
    public void put(Entry line) {
        lines.put(line.name(), line);
        record.line(ticker.now(), "changed", "worker", line.name(), "state", line.state());
        long now = ticker.now();
        for (Watcher w : watchers.values()) {
            w.due.add(line);
            w.busyUntil = Math.max(w.busyUntil, now + lag);
            ticker.after(w.busyUntil - now, () -> tell(w));
        }
    }

    private void tell(Watcher w) {
        Entry l = w.due.poll();
        if (l == null || away || !watchers.containsKey(w.request)) { return; }
        say(w, false, List.of(l));
    }

    private void say(Watcher w, boolean whole, Collection<Entry> these) {
        StringBuilder s = new StringBuilder("{\"whole\":").append(whole).append(",\"version\":").append(
            w.version++).append(",\"workers\":[");
        String comma = "";
        for (Entry l : these) {
            s.append(comma).append(l.json());
            comma = ",";
        }
        w.request.sendPart(s.append("]}\n").toString().getBytes(StandardCharsets.UTF_8));
        long now = ticker.now();
        for (Entry l : these) { // what was said at this time was learned at this time, or a little later
            record.line(now, "told", "router", w.router, "worker", l.name(), "state", l.state(), "started",
                l.started() * 1000);
        }
    }

    @Override public void handle(HttpExchange r) {
        ticker.post(() -> {
            String router = r.queryParameter("router");
            if (away || router == null || !r.path.equals("/v1/workers")) {
                r.drop();
                return;
            }
            Watcher w = new Watcher(r, Integer.parseInt(router));
            watchers.put(r, w);
            r.beginStreaming(200, Map.of("Content-Type", "application/x-ndjson"));
            record.line(ticker.now(), "watch", "router", w.router);
            say(w, true, lines.values());
            watchers.keySet().removeIf(x -> !x.isOpen());
        });
    }

    public void close() { door.close(); }
}
