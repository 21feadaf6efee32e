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
 * Measures the router's added latency and maximum throughput, compared with a relay that has the
 * same filter chains and with direct requests to the workers. Everything runs on this machine. The
 * workers respond at once, so that only the path to them is measured.
 */
public final class SpeedMeasurement {
  private static final int WORKERS = 4;
  private static final int FUNCTIONS = 16;
  private static final int SELECTORS = 3;
  private static final int CLOSED_LOOP_ROUNDS = 2;
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

  /** Starts the relay in this process; runs in the child process that {@link #run} starts. */
  public static void startRelay(int port, List<Integer> workerPorts) throws IOException {
    int[] ports = workerPorts.stream().mapToInt(Integer::intValue).toArray();
    BareRelay.serve(port, addresses(ports), SELECTORS);
  }

  /**
   * Runs all measurements and prints the results.
   *
   * @param duration time that each load is measured after its warm-up
   * @param connections number of connections of the closed-loop load
   * @param requestsPerSecond rate of the open-loop load
   */
  public static void run(Duration duration, int connections, int requestsPerSecond, PrintStream out)
      throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("switchgap-speed");
    List<Process> childProcesses = new ArrayList<>();
    try (NetworkTransport network = new NetworkTransport(SELECTORS, "lab");
        LoopbackPorts ports = LoopbackPorts.reserve(2)) {
      int[] workerPorts = startWorkers(network);
      int relayPort = ports.get(0);
      int routerPort = ports.get(1);
      Path config = directory.resolve("router.yaml");
      Files.writeString(config, routerConfig(routerPort, workerPorts));
      childProcesses.add(
          ChildProcess.start(
              directory.resolve("relay.log"),
              JVM_OPTIONS,
              List.of(
                  "benchmark",
                  "relay",
                  "--port",
                  String.valueOf(relayPort),
                  "--workers",
                  commaSeparated(workerPorts))));
      childProcesses.add(
          ChildProcess.start(
              directory.resolve("router.log"), JVM_OPTIONS, List.of("router", config.toString())));
      LoopbackPorts.awaitListening(relayPort);
      LoopbackPorts.awaitListening(routerPort);
      Targets targets =
          new Targets(addresses(workerPorts), addresses(relayPort), addresses(routerPort));
      measureClosedLoop(network, targets, connections, duration, out);
      measureOpenLoop(network, targets, requestsPerSecond, duration, out);
    } finally {
      childProcesses.forEach(Process::destroyForcibly);
    }
  }

  /**
   * Addresses for requests that go directly to the workers, through the relay and through the
   * router.
   */
  private record Targets(
      InetSocketAddress[] direct, InetSocketAddress[] relay, InetSocketAddress[] router) {}

  private static String invokePath(int requestNumber) {
    return "/v1/functions/f" + requestNumber % FUNCTIONS + "/invoke";
  }

  private static String inferPath(int requestNumber) {
    return "/v2/models/f" + requestNumber % FUNCTIONS + "/infer";
  }

  private static int[] startWorkers(NetworkTransport network) throws IOException {
    int[] ports = new int[WORKERS];
    for (int i = 0; i < WORKERS; i++) {
      ports[i] =
          new HttpServer(network, HttpServerLimits.DEFAULT, SpeedMeasurement::respond)
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

  /** Measures the maximum throughput of the relay and the router, alternately. */
  private static void measureClosedLoop(
      NetworkTransport network,
      Targets targets,
      int connections,
      Duration duration,
      PrintStream out)
      throws InterruptedException {
    out.printf(
        "closed-loop load, %d connections, %d s per row, workers and clients on the same machine%n",
        connections, duration.toSeconds());
    out.printf(
        "%-8s %10s %8s %8s %8s %8s%n", "way", "calls/s", "p50 ms", "p99 ms", "bad", "vs relay");
    SmallRequestLoad.Result firstRelayResult = null;
    for (int i = 0; i < CLOSED_LOOP_ROUNDS; i++) {
      SmallRequestLoad.Result relay =
          new SmallRequestLoad(network, targets.relay, SpeedMeasurement::invokePath)
              .runClosedLoop(connections, WARM_UP, duration);
      firstRelayResult = firstRelayResult == null ? relay : firstRelayResult;
      printRow(out, "relay", relay, firstRelayResult);
      printRow(
          out,
          "router",
          new SmallRequestLoad(network, targets.router, SpeedMeasurement::invokePath)
              .runClosedLoop(connections, WARM_UP, duration),
          firstRelayResult);
    }
  }

  /** Measures the latency of all three paths at a rate that each can sustain. */
  private static void measureOpenLoop(
      NetworkTransport network,
      Targets targets,
      int requestsPerSecond,
      Duration duration,
      PrintStream out)
      throws InterruptedException {
    out.printf("open-loop load, %d calls per second%n", requestsPerSecond);
    SmallRequestLoad.Result direct =
        new SmallRequestLoad(network, targets.direct, SpeedMeasurement::inferPath)
            .runOpenLoop(requestsPerSecond, WARM_UP, duration);
    printRow(out, "direct", direct, direct);
    SmallRequestLoad.Result relay =
        new SmallRequestLoad(network, targets.relay, SpeedMeasurement::invokePath)
            .runOpenLoop(requestsPerSecond, WARM_UP, duration);
    printRow(out, "relay", relay, relay);
    SmallRequestLoad.Result router =
        new SmallRequestLoad(network, targets.router, SpeedMeasurement::invokePath)
            .runOpenLoop(requestsPerSecond, WARM_UP, duration);
    printRow(out, "router", router, relay);
    out.printf(
        "the router adds %.3f ms at p50 and %.3f ms at p99 over a direct call (relay %.3f and"
            + " %.3f)%n",
        router.percentileMillis(50) - direct.percentileMillis(50),
        router.percentileMillis(99) - direct.percentileMillis(99),
        relay.percentileMillis(50) - direct.percentileMillis(50),
        relay.percentileMillis(99) - direct.percentileMillis(99));
  }

  private static void printRow(
      PrintStream out,
      String path,
      SmallRequestLoad.Result result,
      SmallRequestLoad.Result reference) {
    out.printf(
        "%-8s %10.0f %8.3f %8.3f %8d %8.2f%n",
        path,
        result.requestsPerSecond(),
        result.percentileMillis(50),
        result.percentileMillis(99),
        result.failed(),
        result.requestsPerSecond() / reference.requestsPerSecond());
  }

  private static void respond(HttpExchange exchange) {
    exchange.respond(200, WORKER_HEADERS, WORKER_OUTPUT);
  }

  private static String routerConfig(int routerPort, int[] workerPorts) {
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
                + routerPort
                + ", selectors: 3}\nlist:\n  workers:\n");
    for (int i = 0; i < workerPorts.length; i++) {
      yaml.append("    - {name: w")
          .append(i)
          .append(", port: ")
          .append(workerPorts[i])
          .append(", kind: k}\n");
    }
    return yaml.toString();
  }
}
