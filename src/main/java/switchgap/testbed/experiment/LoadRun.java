package switchgap.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import switchgap.config.InvalidConfigException;
import switchgap.config.YamlDocument;
import switchgap.net.NetworkTransport;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.EventRecorder;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.RealTimeScheduler;
import switchgap.testbed.emulator.SocketClientTransport;
import switchgap.testbed.scenario.Scenario;

/**
 * Runs an open-loop load that follows a load curve, against routers over sockets or against the
 * emulator in virtual time. Each request is sent at its scheduled time, independent of earlier
 * requests, and its latency is measured from that time. The latencies therefore include delays by a
 * stalled router or by a sender that falls behind its schedule.
 */
public final class LoadRun {
  private static final double MAX_SEED = 1L << 50;
  private static final int SELECTORS = 2;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long IN_FLIGHT_MARGIN_MICROS = 2_000_000;
  private static final long ARRIVALS_POLL_MILLIS = 50;
  private static final long IN_FLIGHT_POLL_MILLIS = 20;

  private final String name;
  private final Scenario scenario;
  private final LoadCurve curve;
  private final long seed;
  private final LoadRecorder recorder;

  private LoadRun(
      String name, Scenario scenario, LoadCurve curve, long seed, LoadRecorder recorder) {
    this.name = name;
    this.scenario = scenario;
    this.curve = curve;
    this.seed = seed;
    this.recorder = recorder;
  }

  /**
   * Runs the load of a load document, prints a summary and writes the results.
   *
   * @param file load document (YAML)
   * @param timeFactor factor that the curve's times are multiplied with
   * @param routerAddresses addresses of the scenario's routers, in order; empty to run against the
   *     emulator
   * @param directory directory that the results are written to
   * @param out stream that the summary is printed to
   * @throws InvalidConfigException if the file is invalid, or if the number of addresses differs
   *     from the scenario's number of routers
   */
  public static void run(
      Path file,
      double timeFactor,
      List<InetSocketAddress> routerAddresses,
      Path directory,
      PrintStream out)
      throws IOException, InterruptedException {
    YamlDocument document = YamlDocument.read(file);
    YamlDocument section = document.section("load");
    String name = section.text("name");
    Scenario scenario = Scenario.read(file.resolveSibling(section.text("day")).normalize());
    long seed = (long) section.number("seed", 0, MAX_SEED, (double) scenario.seed());
    section.rejectUnknownKeys();
    LoadCurve curve =
        LoadCurveReader.read("curve", document.section("curve"), file).scaleTime(timeFactor);
    document.rejectUnknownKeys();
    requireAddressOfEachRouter(file, scenario, routerAddresses);
    LoadRecorder recorder = new LoadRecorder(directory);
    try (recorder) {
      new LoadRun(name, scenario, curve, seed, recorder).runAndPrint(routerAddresses, out);
    }
    recorder.writeLatencies();
  }

  private static void requireAddressOfEachRouter(
      Path file, Scenario scenario, List<InetSocketAddress> routerAddresses) {
    if (!routerAddresses.isEmpty() && routerAddresses.size() != scenario.routerCount()) {
      String message =
          "the day of this load has "
              + scenario.routerCount()
              + " routers, but "
              + routerAddresses.size()
              + " router addresses were given";
      throw new InvalidConfigException(file.toString(), 1, message);
    }
  }

  private void runAndPrint(List<InetSocketAddress> routerAddresses, PrintStream out)
      throws IOException, InterruptedException {
    boolean emulated = routerAddresses.isEmpty();
    EmulatedClients clients = emulated ? runInVirtualTime() : runOnSockets(routerAddresses);
    recorder.writeSeconds(clients, curve);
    out.printf(
        "%s: %d s%s, service %.3f, ",
        name, curve.seconds(), emulated ? " of simulated time" : " on sockets", clients.service());
    recorder.printSendDelay(out);
    recorder.printRequestClasses(clients, out);
  }

  private EmulatedClients runInVirtualTime() {
    VirtualTimeTestBed testBed =
        new VirtualTimeTestBed(scenario, seed, Variant.LEVELS, curve.rateFactor(scenario));
    recorder.observe(testBed.clients(), testBed.scheduler());
    curve.schedulePeriods(testBed.scheduler(), testBed.clients());
    testBed.run(curve.seconds(), second -> {});
    return testBed.clients();
  }

  private EmulatedClients runOnSockets(List<InetSocketAddress> routerAddresses)
      throws IOException, InterruptedException {
    try (RealTimeScheduler scheduler = new RealTimeScheduler();
        NetworkTransport network = new NetworkTransport(SELECTORS, "load")) {
      EmulatedClients clients = socketClients(scheduler, network, routerAddresses);
      long arrivalsEndMicros =
          CompletableFuture.supplyAsync(
                  () -> {
                    recorder.observe(clients, scheduler);
                    curve.schedulePeriods(scheduler, clients);
                    return clients.startFor(curve.seconds() * MICROS_PER_SECOND);
                  },
                  scheduler::post)
              .join();
      awaitEnd(clients, scheduler, arrivalsEndMicros);
      return clients;
    }
  }

  private EmulatedClients socketClients(
      RealTimeScheduler scheduler,
      NetworkTransport network,
      List<InetSocketAddress> routerAddresses) {
    SocketClientTransport transport =
        new SocketClientTransport(scheduler, network, EventRecorder.none(), routerAddresses.size());
    // The scenario's seed generates the same functions as in the emulated workers; the load's seed
    // would generate others.
    FunctionCatalogue catalogue = scenario.catalogue(scenario.seed());
    EmulatedClients clients = scenario.clients(scheduler, transport, catalogue, seed + 1);
    clients.setRateCurve(curve.rateFactor(scenario));
    for (int i = 0; i < routerAddresses.size(); i++) {
      transport.setRouter(i, routerAddresses.get(i));
      clients.setZone(i, scenario.zoneName(i));
    }
    return clients;
  }

  /**
   * Waits until all requests have arrived and the attempts in flight have ended, or until a time
   * limit.
   */
  private void awaitEnd(
      EmulatedClients clients, RealTimeScheduler scheduler, long arrivalsEndMicros)
      throws InterruptedException {
    while (scheduler.now() < arrivalsEndMicros) {
      Thread.sleep(ARRIVALS_POLL_MILLIS);
    }
    long waitDeadlineMicros =
        arrivalsEndMicros + scenario.longestTimeout() * 2 + IN_FLIGHT_MARGIN_MICROS;
    while (clients.attemptsInFlight() > 0 && scheduler.now() < waitDeadlineMicros) {
      Thread.sleep(IN_FLIGHT_POLL_MILLIS);
    }
  }
}
