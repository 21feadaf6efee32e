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
public record GatewayConfig(YamlRouterSettings terms, long seed, String host, int port, ConnectionLimits bounds, int mostHeld, int mostWait,
                          int mostFunctions, Duration kept, int mostDeferred, long mostDeferredBytes,
                          InferenceWorkerTransport.ConnectionLimits links, String from, int answerBytes, int selectors, Duration orderLimit,
                          Duration probeLimit, InetSocketAddress list, Duration listAgain, List<EndpointUpdate> fixed, InetSocketAddress planner,
                          Duration patience) {
    public static GatewayConfig read(Path file) throws java.io.IOException {
        return read(YamlDocument.read(file));
    }

    /** Reads a page whole; a mistake is a {@link switchgap.config.InvalidConfigException} that names file, line and key. */
    public static GatewayConfig read(YamlDocument p) {
        YamlRouterSettings terms = new YamlRouterSettings(p);
        YamlDocument l = p.part("listen");
        String host = l.text("host", "127.0.0.1");
        int port = l.whole("port", 0, 65535);
        ConnectionLimits bounds = new ConnectionLimits(l.whole("header_bytes", 1024, 1 << 20, 16 << 10),
            l.whole("body_bytes", 1, 1 << 28, 1 << 20), l.whole("connections", 1, 1_000_000, 20_000),
            l.span("idle", Duration.ofSeconds(75)), l.span("arrival", Duration.ofSeconds(10)));
        int selectors = l.whole("selectors", 1, 64, 2);
        l.done();
        YamlDocument h = p.partOrNone("holds");
        int mostHeld = h.whole("calls", 1, 1_000_000, 20_000);
        int mostFunctions = h.whole("functions", 1, 1_000_000, 20_000);
        Duration kept = h.span("results_kept", Duration.ofMinutes(5));
        int mostDeferred = h.whole("deferred", 1, 1_000_000, 10_000);
        int mb = h.whole("deferred_mb", 1, 1 << 20, 64);
        int mostWait = h.whole("poll_seconds", 0, 3600, 60);
        h.done();
        YamlDocument k = p.partOrNone("links");
        InferenceWorkerTransport.ConnectionLimits links = new InferenceWorkerTransport.ConnectionLimits(k.whole("connections", 1, 100_000, 64),
            k.whole("waiting", 1, 1_000_000, 1024), k.span("connect_within", Duration.ofMillis(250)),
            k.span("idle", Duration.ofSeconds(30)));
        String from = k.text("from", null);
        int answerBytes = k.whole("answer_bytes", 1, 1 << 28, 4 << 20);
        Duration orderLimit = k.span("order_within", Duration.ofSeconds(10));
        Duration probeLimit = k.span("probe_within", Duration.ofMillis(250));
        k.done();
        YamlDocument s = p.partOrNone("list");
        InetSocketAddress list = s.has("port")
            ? new InetSocketAddress(s.text("host", "127.0.0.1"), s.whole("port", 1, 65535)) : null;
        Duration again = s.span("ask_again", Duration.ofMillis(500));
        List<EndpointUpdate> fixed = new ArrayList<>();
        for (YamlDocument w : s.parts("workers")) {
            int zone = terms.zone(w.text("zone", terms.zoneName(0)));
            if (zone < 0) { throw w.wrong("zone", "'" + w.text("zone") + "' is not among zones"); }
            fixed.add(new EndpointUpdate(w.text("name"), w.text("host", "127.0.0.1"), w.whole("port", 1, 65535),
                WorkerState.READY, zone, w.whole("cell", 0, 100_000, 0), terms.machineKind(w.text("kind", "")),
                w.number("size", 0, 1e9, 1), null));
            w.done();
        }
        s.done();
        if (list == null && fixed.isEmpty()) { throw p.wrong("list", "needs a port to ask, or workers"); }
        InetSocketAddress planner = null;
        Duration patience = Duration.ZERO;
        if (p.has("planner")) {
            YamlDocument q = p.part("planner");
            planner = new InetSocketAddress(q.text("host", "127.0.0.1"), q.whole("port", 0, 65535));
            patience = q.span("patience", Duration.ofMillis(60));
            q.done();
            if (!terms.loadQuotaWindow().isZero()) { // an order that waits would be counted in another span than it goes out in
                throw p.wrong("planner", "is not used where load orders are rationed");
            }
        }
        long seed = (long) p.number("seed", 0, 1L << 52, terms.routerIndex() + 1);
        p.done();
        return new GatewayConfig(terms, seed, host, port, bounds, mostHeld, mostWait, mostFunctions, kept, mostDeferred,
            (long) mb << 20, links, from, answerBytes, selectors, orderLimit, probeLimit, list, again, fixed, planner, patience);
    }
}
