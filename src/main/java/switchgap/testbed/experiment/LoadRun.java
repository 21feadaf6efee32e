package switchgap.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import switchgap.config.InvalidConfigException;
import switchgap.config.YamlDocument;
import switchgap.net.NetworkTransport;
import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.EventRecorder;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.RealTimeScheduler;
import switchgap.testbed.emulator.RequestTally;
import switchgap.testbed.emulator.Scheduler;
import switchgap.testbed.emulator.SocketClientTransport;
import switchgap.testbed.scenario.Scenario;

/**
 * An open-loop load with a curve, against routers on sockets or the emulator: requests are sent
 * when they are due, whatever became of those before, and latencies count from then, so that a
 * stalled router or a sender that falls behind hides nothing.
 */
public final class LoadRun {
  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
  private static final long CLOSING_MICROS = 2_000_000;
  private final String name;
  private final Scenario scenario;
  private final LoadCurve curve;
  private final long seed;
  private final Map<String, Histogram> latencies = new TreeMap<>();
  private final Map<String, Map<String, Long>> outcomes = new TreeMap<>();
  private final Histogram sendDelay = new Histogram(MAX_LATENCY_MICROS, 3);
  private ResultTable requestTable;
  private long startedAt;

  private LoadRun(Path file, double within) throws IOException {
    YamlDocument document = YamlDocument.read(file);
    YamlDocument loadSection = document.section("load");
    name = loadSection.text("name");
    scenario = Scenario.read(file.resolveSibling(loadSection.text("day")).normalize());
    seed = (long) loadSection.number("seed", 0, (double) (1L << 50), (double) scenario.seed());
    loadSection.rejectUnknownKeys();
    curve = LoadCurve.read("curve", document.section("curve"), file).within(within);
    document.rejectUnknownKeys();
  }

  /**
   * Plays a load file within a share of its time; with no routers named, against the emulator.
   * Results go to the directory.
   */
  public static void run(
      Path file, double within, List<InetSocketAddress> routers, Path dir, PrintStream out)
      throws IOException, InterruptedException {
    LoadRun loadRun = new LoadRun(file, within);
    if (!routers.isEmpty() && routers.size() != loadRun.scenario.routers()) {
      throw new InvalidConfigException(
          file.toString(),
          1,
          "its day has "
              + loadRun.scenario.routers()
              + " routers, "
              + routers.size()
              + " were named");
    }
    LinkedHashMap<String, Class<?>> columns = new LinkedHashMap<>();
    columns.put("at_ms", Double.class);
    columns.put("workload", String.class);
    columns.put("customer", String.class);
    columns.put("router", Long.class);
    columns.put("took_ms", Double.class);
    columns.put("tries", Long.class);
    columns.put("end", String.class);
    columns.put("earned", Double.class);
    try (ResultTable table =
        new ResultTable(Files.createDirectories(dir).resolve("jobs"), columns)) {
      loadRun.requestTable = table;
      EmulatedClients clients = routers.isEmpty() ? loadRun.emulated() : loadRun.sockets(routers);
      loadRun.writeSeconds(clients, dir);
      loadRun.print(clients, routers.isEmpty(), out);
    }
    for (var entry : loadRun.latencies.entrySet()) {
      try (PrintStream output =
          new PrintStream(Files.newOutputStream(dir.resolve(entry.getKey() + ".hgrm")))) {
        entry.getValue().outputPercentileDistribution(output, 1000.0);
      }
    }
  }

  private double fullRateFactor() {
    return scenario.fleetCapacity() / scenario.meanWork() / scenario.requestRate();
  }

  private EmulatedClients emulated() {
    Emulator emulator =
        new Emulator(scenario, seed, Variant.LEVELS, micros -> curve.at(micros) * fullRateFactor());
    observe(emulator.clients, emulator.scheduler);
    curve.schedule(emulator.scheduler, emulator.clients);
    emulator.play(curve.seconds(), second -> {});
    return emulator.clients;
  }

  private EmulatedClients sockets(List<InetSocketAddress> routers)
      throws IOException, InterruptedException {
    FunctionCatalogue catalogue =
        scenario.catalogue(scenario.seed()); // as the emulated workers have it
    try (RealTimeScheduler scheduler = new RealTimeScheduler();
        NetworkTransport network = new NetworkTransport(2, "load")) {
      SocketClientTransport transport =
          new SocketClientTransport(scheduler, network, EventRecorder.none(), routers.size());
      for (int i = 0; i < routers.size(); i++) {
        transport.setRouter(i, routers.get(i));
      }
      EmulatedClients clients = scenario.clients(scheduler, transport, catalogue, seed + 1);
      clients.setRateCurve(micros -> curve.at(micros) * fullRateFactor());
      for (int i = 0; i < routers.size(); i++) {
        clients.setZone(i, scenario.zone(i));
      }
      long end =
          CompletableFuture.supplyAsync(
                  () -> {
                    observe(clients, scheduler);
                    curve.schedule(scheduler, clients);
                    return clients.startFor(curve.seconds() * 1_000_000);
                  },
                  scheduler::post)
              .join();
      while (scheduler.now() < end) {
        Thread.sleep(50);
      }
      long deadline = end + scenario.longestTimeout() * 2 + CLOSING_MICROS;
      while (clients.attemptsInFlight() > 0 && scheduler.now() < deadline) {
        Thread.sleep(20);
      }
      return clients;
    }
  }

  private void observe(EmulatedClients clients, Scheduler scheduler) {
    startedAt = scheduler.now();
    clients.onRequestEnded(
        result -> {
          outcomes
              .computeIfAbsent(result.requestClass(), key -> new TreeMap<>())
              .merge(result.lastAttempt().word(), 1L, Long::sum);
          if (result.lastAttempt().outcome() == ClientOutcome.SUCCEEDED) {
            latencies
                .computeIfAbsent(result.requestClass(), key -> new Histogram(MAX_LATENCY_MICROS, 3))
                .recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, result.duration())));
          }
          try {
            requestTable.row(
                (result.arrivedAt() - startedAt) / 1e3,
                result.requestClass(),
                result.tenant(),
                result.router(),
                result.duration() / 1e3,
                result.attempts(),
                result.lastAttempt().word(),
                result.earned());
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
    clients.onRequestSent(late -> sendDelay.recordValue(Math.min(MAX_LATENCY_MICROS, late)));
  }

  private void writeSeconds(EmulatedClients clients, Path dir) throws IOException {
    LinkedHashMap<String, Class<?>> columns = new LinkedHashMap<>();
    columns.put("second", Long.class);
    List.of("load", "asked", "earned").forEach(column -> columns.put(column, Double.class));
    try (ResultTable table = new ResultTable(dir.resolve("seconds"), columns)) {
      for (var entry : clients.weightsBySecond().entrySet()) {
        table.row(
            entry.getKey(),
            curve.at(entry.getKey() * 1_000_000),
            entry.getValue().requested(),
            entry.getValue().earned());
      }
    }
  }

  private void print(EmulatedClients clients, boolean emulated, PrintStream out) {
    out.printf(
        "%s: %d s%s, service %.3f, jobs sent late by p99 %.2f ms, most %.2f ms%n",
        name,
        curve.seconds(),
        emulated ? " of simulated time" : " on sockets",
        clients.service(),
        sendDelay.getValueAtPercentile(99) / 1e3,
        sendDelay.getMaxValue() / 1e3);
    out.printf(
        "%-16s %8s %10s %10s %10s %10s  %s%n",
        "workload", "jobs", "in target", "p50 ms", "p99 ms", "most ms", "ends");
    for (var entry : clients.tallies().entrySet()) {
      RequestTally tally = entry.getValue();
      Histogram histogram = latencies.getOrDefault(entry.getKey(), new Histogram(3));
      out.printf(
          "%-16s %8d %10.3f %10.1f %10.1f %10.1f  %s%n",
          entry.getKey(),
          tally.requests(),
          tally.objectiveMetShare(),
          histogram.getValueAtPercentile(50) / 1e3,
          histogram.getValueAtPercentile(99) / 1e3,
          histogram.getMaxValue() / 1e3,
          new ArrayList<>(outcomes.getOrDefault(entry.getKey(), Map.of()).entrySet()));
    }
  }
}
