package switchgap.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;
import switchgap.net.NetworkTransport;
import switchgap.testbed.process.ChildProcess;
import switchgap.testbed.process.LoopbackPorts;

/**
 * Latency that the router adds, and the most requests it passes, beside a relay of the same filter
 * chains and a direct request, all on this machine in one run. Workers respond at once, so that
 * only the path to them is measured.
 */
public final class SpeedMeasurement {
  private static final int WORKERS = 4;
  private static final int FUNCTIONS = 16;
  private static final int SELECTORS = 3;
  private static final int CLOSED_ROUNDS = 2;
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final List<String> JVM_OPTIONS = List.of("-Xmx1g");

  private static final byte[] WORKER_OUTPUT =
      "{\"id\":\"x\",\"outputs\":[]}".getBytes(StandardCharsets.US_ASCII);
  private static final Map<String, String> WORKER_HEADERS =
      Map.of(
          "Content-Type",
          "application/json",
          "endpoint-load-metrics",
          "TEXT cpu_utilization=0.1,named_metrics.inflight=1,"
              + "named_metrics.crowd=0,named_metrics.copies=1");

  private SpeedMeasurement() {}

  /** Runs the relay in this process, for the child process that is measured. */
  public static void relay(int port, List<Integer> workers) throws IOException {
    int[] ports = workers.stream().mapToInt(Integer::intValue).toArray();
    BareRelay.serve(port, addresses(ports), SELECTORS);
  }

  /**
   * Measures and prints.
   *
   * @param duration time that each load is measured, after its warm-up
   * @param connections of the closed load
   * @param rate requests a second of the open load
   */
  public static void run(Duration duration, int connections, int rate, PrintStream out)
      throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("switchgap-speed");
    List<Process> children = new ArrayList<>();
    try (NetworkTransport net = new NetworkTransport(SELECTORS, "lab")) {
      int[] workers = startWorkers(net);
      int[] ports = LoopbackPorts.free(2);
      Path config = directory.resolve("router.yaml");
      Files.writeString(config, config(ports[1], workers));
      children.add(
          ChildProcess.start(
              directory.resolve("relay.log"),
              JVM_OPTIONS,
              List.of(
                  "benchmark",
                  "relay",
                  "--port",
                  String.valueOf(ports[0]),
                  "--workers",
                  commaSeparated(workers))));
      children.add(
          ChildProcess.start(
              directory.resolve("router.log"), JVM_OPTIONS, List.of("router", config.toString())));
      LoopbackPorts.await(ports[0]);
      LoopbackPorts.await(ports[1]);
      Targets targets = new Targets(addresses(workers), addresses(ports[0]), addresses(ports[1]));
      measureClosed(net, targets, connections, duration, out);
      measureOpen(net, targets, rate, duration, out);
    } finally {
      children.forEach(Process::destroyForcibly);
    }
  }

  /** Where requests go: straight to the workers, over the relay, over the router. */
  private record Targets(
      InetSocketAddress[] direct, InetSocketAddress[] relay, InetSocketAddress[] router) {}

  private static String invokePath(int number) {
    return "/v1/functions/f" + number % FUNCTIONS + "/invoke";
  }

  private static String inferPath(int number) {
    return "/v2/models/f" + number % FUNCTIONS + "/infer";
  }

  private static int[] startWorkers(NetworkTransport net) throws IOException {
    int[] ports = new int[WORKERS];
    for (int i = 0; i < WORKERS; i++) {
      ports[i] =
          new HttpServer(net, HttpServerLimits.DEFAULT, SpeedMeasurement::respond)
              .listen("127.0.0.1", 0);
    }
    return ports;
  }

  private static String commaSeparated(int[] ports) {
    return String.join(",", Arrays.stream(ports).mapToObj(String::valueOf).toList());
  }

  private static InetSocketAddress[] addresses(int... ports) {
    return Arrays.stream(ports)
        .mapToObj(port -> new InetSocketAddress("127.0.0.1", port))
        .toArray(InetSocketAddress[]::new);
  }

  /** Measures the most requests a second, of relay and router alternately. */
  private static void measureClosed(
      NetworkTransport net, Targets targets, int connections, Duration duration, PrintStream out)
      throws InterruptedException {
    out.printf(
        "closed load, %d connections, %d s each, workers and load on the same machine%n",
        connections, duration.toSeconds());
    out.printf(
        "%-8s %10s %8s %8s %8s %8s%n", "way", "calls/s", "p50 ms", "p99 ms", "bad", "of relay");
    SmallRequestLoad.Result baseline = null;
    for (int i = 0; i < CLOSED_ROUNDS; i++) {
      SmallRequestLoad.Result relay =
          new SmallRequestLoad(net, targets.relay, SpeedMeasurement::invokePath)
              .runClosedLoop(connections, WARM_UP, duration);
      baseline = baseline == null ? relay : baseline;
      row(out, "relay", relay, baseline);
      row(
          out,
          "router",
          new SmallRequestLoad(net, targets.router, SpeedMeasurement::invokePath)
              .runClosedLoop(connections, WARM_UP, duration),
          baseline);
    }
  }

  /** Measures latency at a rate that all of them sustain. */
  private static void measureOpen(
      NetworkTransport net, Targets targets, int rate, Duration duration, PrintStream out)
      throws InterruptedException {
    out.printf("open load, %d calls a second%n", rate);
    SmallRequestLoad.Result direct =
        new SmallRequestLoad(net, targets.direct, SpeedMeasurement::inferPath)
            .runOpenLoop(rate, WARM_UP, duration);
    row(out, "direct", direct, direct);
    SmallRequestLoad.Result relay =
        new SmallRequestLoad(net, targets.relay, SpeedMeasurement::invokePath)
            .runOpenLoop(rate, WARM_UP, duration);
    row(out, "relay", relay, relay);
    SmallRequestLoad.Result router =
        new SmallRequestLoad(net, targets.router, SpeedMeasurement::invokePath)
            .runOpenLoop(rate, WARM_UP, duration);
    row(out, "router", router, relay);
    out.printf(
        "the router adds %.3f ms at p50 and %.3f ms at p99 over a direct call (relay %.3f and"
            + " %.3f)%n",
        router.percentileMillis(50) - direct.percentileMillis(50),
        router.percentileMillis(99) - direct.percentileMillis(99),
        relay.percentileMillis(50) - direct.percentileMillis(50),
        relay.percentileMillis(99) - direct.percentileMillis(99));
  }

  private static void row(
      PrintStream out, String path, SmallRequestLoad.Result result, SmallRequestLoad.Result base) {
    out.printf(
        "%-8s %10.0f %8.3f %8.3f %8d %8.2f%n",
        path,
        result.perSecond(),
        result.percentileMillis(50),
        result.percentileMillis(99),
        result.failed(),
        result.perSecond() / base.perSecond());
  }

  private static void respond(HttpExchange exchange) {
    exchange.respond(200, WORKER_HEADERS, WORKER_OUTPUT);
  }

  private static String config(int port, int[] workers) {
    StringBuilder yaml =
        new StringBuilder(
            "router: {number: 0, of: 1, tick: 5ms, executions: 3}\n"
                + "workloads:\n"
                + "  w: {start_target: 400ms, time_limit: 2500ms, repeat: restartable}\n"
                + "functions:\n"
                + "  f*: {workload: w, memory: 1, lanes: 1000}\n"
                + "kinds: {k: {memory: 100000}}\n"
                + "holds: {calls: 50000}\n"
                + "links: {connections: 256}\n"
                + "listen: {port: "
                + port
                + ", selectors: 3}\nlist:\n  workers:\n");
    for (int i = 0; i < workers.length; i++) {
      yaml.append("    - {name: w")
          .append(i)
          .append(", port: ")
          .append(workers[i])
          .append(", kind: k}\n");
    }
    return yaml.toString();
  }
}
