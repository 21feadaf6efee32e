package switchgap.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import switchgap.net.ConnectionLimits;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.NetworkTransport;
import switchgap.scenario.ChildProcess;
import switchgap.scenario.LoopbackPorts;

/**
 * Latency that the router adds, and the most calls it passes, beside a relay of the same filter chains and a direct
 * call, all on this machine in one run. Workers answer at once: only the way is measured.
 */
public final class SpeedMeasurement {
    private static final int WORKERS = 4;
    private static final int FUNCTIONS = 16;
    private static final List<String> JVM = List.of("-Xmx1g");

    private SpeedMeasurement() {}

    /** Runs the relay in this process; for the child that is measured. */
    public static void relay(int port, List<Integer> workers) throws IOException {
        BareRelay.serve(port,
            workers.stream().map(workerPort -> new InetSocketAddress("127.0.0.1", workerPort)).toArray(
                InetSocketAddress[]::new),
            3);
    }

    /** Measures and prints. */
    public static void run(Duration span, int connections, int rate, PrintStream out)
        throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("switchgap-speed");
        List<Process> children = new ArrayList<>();
        try (NetworkTransport net = new NetworkTransport(3, "lab")) {
            int[] ports = new int[WORKERS];
            for (int i = 0; i < WORKERS; i++) {
                ports[i] = new HttpServer(net, ConnectionLimits.DEFAULT, SpeedMeasurement::worker).listen(
                    "127.0.0.1", 0);
            }
            int[] two = LoopbackPorts.free(2);
            int relayPort = two[0];
            int routerPort = two[1];
            Path page = dir.resolve("router.yaml");
            Files.writeString(page, page(routerPort, ports));
            children.add(ChildProcess.start(dir.resolve("relay.log"), JVM,
                List.of("lab", "relay", "--port", String.valueOf(relayPort),
                    "--workers",
                    String.join(",", java.util.Arrays.stream(ports).mapToObj(String::valueOf).toList()))));
            children.add(
                ChildProcess.start(dir.resolve("router.log"), JVM, List.of("router", page.toString())));
            LoopbackPorts.await(relayPort);
            LoopbackPorts.await(routerPort);
            IntFunction<String> invoke = i -> "/v1/functions/f" + i % FUNCTIONS + "/invoke";
            IntFunction<String> infer = i -> "/v2/models/f" + i % FUNCTIONS + "/infer";
            InetSocketAddress[] direct = java.util.Arrays.stream(ports).mapToObj(
                workerPort -> new InetSocketAddress("127.0.0.1", workerPort)).toArray(
                    InetSocketAddress[]::new);
            InetSocketAddress[] relay = {new InetSocketAddress("127.0.0.1", relayPort)};
            InetSocketAddress[] router = {new InetSocketAddress("127.0.0.1", routerPort)};
            Duration warm = Duration.ofSeconds(4);
            out.printf("closed load, %d connections, %d s each, workers and load on the same machine%n",
                connections,
                span.toSeconds());
            out.printf("%-8s %10s %8s %8s %8s %8s%n", "way", "calls/s", "p50 ms", "p99 ms", "bad",
                "of relay");
            SmallRequestLoad.Result base = new SmallRequestLoad(net, relay, invoke).closed(connections, warm,
                span);
            row(out, "relay", base, base);
            row(out, "router", new SmallRequestLoad(net, router, invoke).closed(connections, warm, span),
                base);
            row(out, "relay", new SmallRequestLoad(net, relay, invoke).closed(connections, warm, span), base);
            row(out, "router", new SmallRequestLoad(net, router, invoke).closed(connections, warm, span),
                base);
            out.printf("open load, %d calls a second%n", rate);
            SmallRequestLoad.Result directResult = new SmallRequestLoad(net, direct, infer).open(rate, warm,
                span);
            row(out, "direct", directResult, directResult);
            SmallRequestLoad.Result relayResult = new SmallRequestLoad(net, relay, invoke).open(rate, warm,
                span);
            row(out, "relay", relayResult, relayResult);
            SmallRequestLoad.Result routerResult = new SmallRequestLoad(net, router, invoke).open(rate, warm,
                span);
            row(out, "router", routerResult, relayResult);
            out.printf(
                "the router adds %.3f ms at p50 and %.3f ms at p99 over a direct call (relay %.3f and %.3f)%n",
                routerResult.quantile(50) - directResult.quantile(50),
                routerResult.quantile(99) - directResult.quantile(99),
                relayResult.quantile(50) - directResult.quantile(50),
                relayResult.quantile(99) - directResult.quantile(99));
        } finally {
            children.forEach(Process::destroyForcibly);
        }
    }

    private static void row(PrintStream out, String way, SmallRequestLoad.Result result,
        SmallRequestLoad.Result base) {
        out.printf("%-8s %10.0f %8.3f %8.3f %8d %8.2f%n", way, result.perSecond(), result.quantile(50),
            result.quantile(99),
            result.bad(),
            result.perSecond() / base.perSecond());
    }

    private static final byte[] OUTPUT = "{\"id\":\"x\",\"outputs\":[]}".getBytes(StandardCharsets.US_ASCII);
    private static final Map<String,
        String> HEAD = Map.of("Content-Type", "application/json", "endpoint-load-metrics",
            "TEXT cpu_utilization=0.1,named_metrics.inflight=1,named_metrics.crowd=0,named_metrics.copies=1");

    private static void worker(HttpExchange exchange) {
        exchange.respond(200, HEAD, OUTPUT);
    }

    private static String page(int port, int[] workers) {
        StringBuilder yaml = new StringBuilder("router: {number: 0, of: 1, tick: 5ms, executions: 3}\n"
            + "workloads:\n  w: {start_target: 400ms, time_limit: 2500ms, repeat: restartable}\n"
            + "functions:\n  f*: {workload: w, memory: 1, lanes: 1000}\n"
            + "kinds: {k: {memory: 100000}}\n"
            + "holds: {calls: 50000}\nlinks: {connections: 256}\n"
            + "listen: {port: " + port + ", selectors: 3}\nlist:\n  workers:\n");
        for (int i = 0; i < workers.length; i++) {
            yaml.append("    - {name: w").append(i).append(", port: ").append(workers[i]).append(
                ", kind: k}\n");
        }
        return yaml.toString();
    }
}
