package switchgap.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import switchgap.config.YamlDocument;
import switchgap.net.ConnectionLimits;
import switchgap.net.HttpServer;
import switchgap.net.NetworkTransport;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/** Heap of a router that knows 81 workers and 2,000 functions, and of each call that it holds. */
public final class MemoryMeasurement {
    private static final int WORKERS = 81;
    private static final int FUNCTIONS = 2000;

    private MemoryMeasurement() {}

    /** Measures in this process and prints; calls are deferred ones of a small body, held by workers that are silent. */
    public static void run(int calls, PrintStream out) throws IOException, InterruptedException {
        try (NetworkTransport net = new NetworkTransport(2, "lab")) {
            boolean[] silent = {false};
            int port = new HttpServer(net, ConnectionLimits.DEFAULT, r -> {
                if (!silent[0]) {
                    r.respond(200, java.util.Map.of("Content-Type", "application/json"), new byte[2]);
                }
            }).listen("127.0.0.1", 0);
            HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            long before = used();
            try (GatewayRouter g = new GatewayRouter(
                GatewayConfig.read(YamlDocument.read("memory", page(port))))) {
                send(client, g, FUNCTIONS, true);
                Thread.sleep(1500);
                long known = used();
                silent[0] = true;
                send(client, g, calls, true);
                long held = used();
                int n = g.held();
                out.printf("%d workers and %d functions known: %.1f MB over the process before the router%n",
                    WORKERS,
                    FUNCTIONS, (known - before) / 1e6);
                out.printf("%d calls held: %.0f bytes each%n", n, (held - known) / (double) Math.max(1, n));
            }
        }
    }

    private static void send(HttpClient client, GatewayRouter g, int n, boolean deferred) {
        List<CompletableFuture<HttpResponse<Void>>> out = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            HttpRequest.Builder b = HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + g.port() + "/v1/functions/f"
                    + i % FUNCTIONS + "/invoke")).POST(
                        HttpRequest.BodyPublishers.ofString("{\"inputs\":[]}"));
            if (deferred) { b.header("Prefer", "respond-async"); }
            out.add(client.sendAsync(b.build(), HttpResponse.BodyHandlers.discarding()));
            if (i % 100 == 99) {
                out.forEach(CompletableFuture::join);
                out.clear();
            }
        }
        out.forEach(CompletableFuture::join);
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 4; i++) {
            System.gc();
            Thread.sleep(100);
        }
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }

    private static String page(int port) {
        StringBuilder s = new StringBuilder("router: {number: 0, of: 1, tick: 10ms}\n"
            + "workloads: {w: {start_target: 60s, time_limit: 120s, repeat: restartable}}\n"
            + "functions: {\"f*\": {workload: w, memory: 1, lanes: 100}}\nkinds: {k: {memory: 1000000}}\n"
            + "holds: {calls: 100000, deferred: 100000}\nlinks: {connections: 2, waiting: 100000}\n"
            + "listen: {port: 0}\nlist:\n  workers:\n");
        for (int i = 0; i < WORKERS; i++) {
            s.append("    - {name: w").append(i).append(", port: ").append(port).append(", kind: k}\n");
        }
        return s.toString();
    }
}
