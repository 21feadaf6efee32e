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
 * An open-loop load with a curve, against routers on sockets or the emulator: requests are sent
 * when they are due, whatever became of those before, and latencies count from then, so that a
 * stalled router or a sender that falls behind hides nothing.
 */
public final class LoadRun {
  private static final double MAX_SEED = 1L << 50;
  private static final int SELECTORS = 2;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long DRAIN_MARGIN_MICROS = 2_000_000;
  private static final long ARRIVALS_POLL_MILLIS = 50;
  private static final long DRAIN_POLL_MILLIS = 20;

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
   * Plays a load file and prints a summary.
   *
   * @param file the load
   * @param timeShare share of the curve's time that it is played in
   * @param routers addresses of the scenario's routers, in order; none for the emulator
   * @param directory receives the results
   * @param out receives the summary
   * @throws InvalidConfigException for a mistake in the file, or another number of routers than the
   *     scenario has
   */
  public static void run(
      Path file, double timeShare, List<InetSocketAddress> routers, Path directory, PrintStream out)
      throws IOException, InterruptedException {
    YamlDocument document = YamlDocument.read(file);
    YamlDocument section = document.section("load");
    String name = section.text("name");
    Scenario scenario = Scenario.read(file.resolveSibling(section.text("day")).normalize());
    long seed = (long) section.number("seed", 0, MAX_SEED, (double) scenario.seed());
    section.rejectUnknownKeys();
    LoadCurve curve =
        LoadCurveReader.read("curve", document.section("curve"), file).within(timeShare);
    document.rejectUnknownKeys();
    requireAllRouters(file, scenario, routers);
    LoadRecorder recorder = new LoadRecorder(directory);
    try (recorder) {
      new LoadRun(name, scenario, curve, seed, recorder).play(routers, out);
    }
    recorder.writeLatencies();
  }

  private static void requireAllRouters(
      Path file, Scenario scenario, List<InetSocketAddress> routers) {
    if (!routers.isEmpty() && routers.size() != scenario.routers()) {
      String message =
          "its day has " + scenario.routers() + " routers, " + routers.size() + " were named";
      throw new InvalidConfigException(file.toString(), 1, message);
    }
  }

  private void play(List<InetSocketAddress> routers, PrintStream out)
      throws IOException, InterruptedException {
    boolean emulated = routers.isEmpty();
    EmulatedClients clients = emulated ? playInVirtualTime() : playOnSockets(routers);
    recorder.writeSeconds(clients, curve);
    out.printf(
        "%s: %d s%s, service %.3f, ",
        name, curve.seconds(), emulated ? " of simulated time" : " on sockets", clients.service());
    recorder.printSendDelay(out);
    recorder.printRequestClasses(clients, out);
  }

  private EmulatedClients playInVirtualTime() {
    VirtualTimeTestBed testBed =
        new VirtualTimeTestBed(scenario, seed, Variant.LEVELS, curve.rateFactor(scenario));
    recorder.observe(testBed.clients(), testBed.scheduler());
    curve.schedule(testBed.scheduler(), testBed.clients());
    testBed.play(curve.seconds(), second -> {});
    return testBed.clients();
  }

  private EmulatedClients playOnSockets(List<InetSocketAddress> routers)
      throws IOException, InterruptedException {
    try (RealTimeScheduler scheduler = new RealTimeScheduler();
        NetworkTransport network = new NetworkTransport(SELECTORS, "load")) {
      EmulatedClients clients = socketClients(scheduler, network, routers);
      long end =
          CompletableFuture.supplyAsync(
                  () -> {
                    recorder.observe(clients, scheduler);
                    curve.schedule(scheduler, clients);
                    return clients.startFor(curve.seconds() * MICROS_PER_SECOND);
                  },
                  scheduler::post)
              .join();
      awaitEnd(clients, scheduler, end);
      return clients;
    }
  }

  private EmulatedClients socketClients(
      RealTimeScheduler scheduler, NetworkTransport network, List<InetSocketAddress> routers) {
    SocketClientTransport transport =
        new SocketClientTransport(scheduler, network, EventRecorder.none(), routers.size());
    // The scenario's own seed: the functions are those that its emulated workers know.
    FunctionCatalogue catalogue = scenario.catalogue(scenario.seed());
    EmulatedClients clients = scenario.clients(scheduler, transport, catalogue, seed + 1);
    clients.setRateCurve(curve.rateFactor(scenario));
    for (int i = 0; i < routers.size(); i++) {
      transport.setRouter(i, routers.get(i));
      clients.setZone(i, scenario.zone(i));
    }
    return clients;
  }

  /** Waits until arrivals end and what is in flight has ended, or is overdue. */
  private void awaitEnd(EmulatedClients clients, RealTimeScheduler scheduler, long end)
      throws InterruptedException {
    while (scheduler.now() < end) {
      Thread.sleep(ARRIVALS_POLL_MILLIS);
    }
    long deadline = end + scenario.longestTimeout() * 2 + DRAIN_MARGIN_MICROS;
    while (clients.attemptsInFlight() > 0 && scheduler.now() < deadline) {
      Thread.sleep(DRAIN_POLL_MILLIS);
    }
  }
}
