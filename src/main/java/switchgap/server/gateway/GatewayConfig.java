package switchgap.server.gateway;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.net.ConnectionLimits;
import switchgap.policy.api.WorkerState;
import switchgap.protocol.inference.InferenceWorkerTransport;
import switchgap.router.EndpointUpdate;

/** All that a router's page states: its terms, where it listens, whom it asks for the list, and its bounds. */
public record GatewayConfig(YamlRouterSettings terms, long seed, String host, int port,
    ConnectionLimits bounds, int mostHeld, int mostWait,
    int mostFunctions, Duration kept, int mostDeferred, long mostDeferredBytes,
    InferenceWorkerTransport.ConnectionLimits links, String from, int answerBytes, int selectors,
    Duration orderLimit,
    Duration probeLimit, InetSocketAddress list, Duration listAgain, List<EndpointUpdate> fixed,
    InetSocketAddress planner,
    Duration patience) {
    public static GatewayConfig read(Path file) throws java.io.IOException {
        return read(YamlDocument.read(file));
    }

    /** Reads a page whole; a mistake is a {@link switchgap.config.InvalidConfigException} that names file, line and key. */
    public static GatewayConfig read(YamlDocument p) {
        YamlRouterSettings terms = new YamlRouterSettings(p);
        YamlDocument l = p.section("listen");
        String host = l.text("host", "127.0.0.1");
        int port = l.integer("port", 0, 65535);
        ConnectionLimits bounds = new ConnectionLimits(l.integer("header_bytes", 1024, 1 << 20, 16 << 10),
            l.integer("body_bytes", 1, 1 << 28, 1 << 20), l.integer("connections", 1, 1_000_000, 20_000),
            l.duration("idle", Duration.ofSeconds(75)), l.duration("arrival", Duration.ofSeconds(10)));
        int selectors = l.integer("selectors", 1, 64, 2);
        l.rejectUnknownKeys();
        YamlDocument h = p.optionalSection("holds");
        int mostHeld = h.integer("calls", 1, 1_000_000, 20_000);
        int mostFunctions = h.integer("functions", 1, 1_000_000, 20_000);
        Duration kept = h.duration("results_kept", Duration.ofMinutes(5));
        int mostDeferred = h.integer("deferred", 1, 1_000_000, 10_000);
        int mb = h.integer("deferred_mb", 1, 1 << 20, 64);
        int mostWait = h.integer("poll_seconds", 0, 3600, 60);
        h.rejectUnknownKeys();
        YamlDocument k = p.optionalSection("links");
        InferenceWorkerTransport.ConnectionLimits links = new InferenceWorkerTransport.ConnectionLimits(
            k.integer("connections", 1, 100_000, 64),
            k.integer("waiting", 1, 1_000_000, 1024), k.duration("connect_within", Duration.ofMillis(250)),
            k.duration("idle", Duration.ofSeconds(30)));
        String from = k.text("from", null);
        int answerBytes = k.integer("answer_bytes", 1, 1 << 28, 4 << 20);
        Duration orderLimit = k.duration("order_within", Duration.ofSeconds(10));
        Duration probeLimit = k.duration("probe_within", Duration.ofMillis(250));
        k.rejectUnknownKeys();
        YamlDocument s = p.optionalSection("list");
        InetSocketAddress list = s.has("port")
            ? new InetSocketAddress(s.text("host", "127.0.0.1"), s.integer("port", 1, 65535)) : null;
        Duration again = s.duration("ask_again", Duration.ofMillis(500));
        List<EndpointUpdate> fixed = new ArrayList<>();
        for (YamlDocument w : s.sections("workers")) {
            int zone = terms.zoneIndex(w.text("zone", terms.zoneName(0)));
            if (zone < 0) { throw w.invalid("zone", "'" + w.text("zone") + "' is not among zones"); }
            fixed.add(
                new EndpointUpdate(w.text("name"), w.text("host", "127.0.0.1"), w.integer("port", 1, 65535),
                    WorkerState.READY, zone, w.integer("cell", 0, 100_000, 0),
                    terms.workerKindIndex(w.text("kind", "")),
                    w.number("size", 0, 1e9, 1), null));
            w.rejectUnknownKeys();
        }
        s.rejectUnknownKeys();
        if (list == null && fixed.isEmpty()) { throw p.invalid("list", "needs a port to ask, or workers"); }
        InetSocketAddress planner = null;
        Duration patience = Duration.ZERO;
        if (p.has("planner")) {
            YamlDocument q = p.section("planner");
            planner = new InetSocketAddress(q.text("host", "127.0.0.1"), q.integer("port", 0, 65535));
            patience = q.duration("patience", Duration.ofMillis(60));
            q.rejectUnknownKeys();
            if (!terms.loadQuotaWindow().isZero()) { // an order that waits would be counted in another span than it goes out in
                throw p.invalid("planner", "is not used where load orders are rationed");
            }
        }
        long seed = (long) p.number("seed", 0, 1L << 52, terms.routerIndex() + 1);
        p.rejectUnknownKeys();
        return new GatewayConfig(terms, seed, host, port, bounds, mostHeld, mostWait, mostFunctions, kept,
            mostDeferred,
            (long) mb << 20, links, from, answerBytes, selectors, orderLimit, probeLimit, list, again, fixed,
            planner, patience);
    }
}
