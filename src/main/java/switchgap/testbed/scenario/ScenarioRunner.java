package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.RequestTally;

/**
 * Runs a scenario over sockets: starts the test bed, generates load while faults are injected, and
 * shuts down gracefully.
 */
public final class ScenarioRunner {
  /** Time for the routers to fetch the endpoint list and connect to workers before clients send. */
  private static final long START_DELAY_MILLIS = 500;

  private static final long ARRIVALS_POLL_MILLIS = 50;
  private static final long IN_FLIGHT_POLL_MILLIS = 20;

  /** Longer than clients keep a connection open for a late response. */
  private static final long LATE_RESPONSE_WAIT_MILLIS = 400;

  /**
   * Added to the longest timeout. When both have passed since the last arrival, the run ends even
   * if attempts are still in flight.
   */
  private static final long IN_FLIGHT_MARGIN_MICROS = 2_000_000;

  private static final int WORST_WINDOW_SECONDS = 10;

  private ScenarioRunner() {}

  /**
   * Runs a scenario and prints a summary of the outcomes of its requests.
   *
   * @param file YAML document of the scenario
   * @param directory directory for the logs and a copy of the scenario; created if it is missing
   * @param baseline name of a baseline routing policy, {@code random} or {@code turns}; null for
   *     the router's own policy
   * @param out stream to which the summary is printed
   * @return the clients, with the counts of their requests
   * @throws IOException if the scenario cannot be read, or a port, process or log cannot be opened
   * @throws InterruptedException if the thread is interrupted while it waits for the end
   */
  public static EmulatedClients run(Path file, Path directory, String baseline, PrintStream out)
      throws IOException, InterruptedException {
    Scenario scenario = Scenario.read(file);
    Files.createDirectories(directory);
    Files.copy(file, directory.resolve(EventLog.SCENARIO), StandardCopyOption.REPLACE_EXISTING);
    try (TestBed testBed = new TestBed(scenario, directory, baseline)) {
      Thread.sleep(START_DELAY_MILLIS);
      testBed.recordScriptEvent("began", "day", scenario.name());
      long arrivalsEndTime =
          CompletableFuture.supplyAsync(
                  () -> {
                    long arrivalsEnd =
                        testBed.clients().startFor(scenario.settings().timing().length());
                    new FaultScript(testBed).start();
                    return arrivalsEnd;
                  },
                  testBed.scheduler()::post)
              .join();
      awaitEnd(testBed, arrivalsEndTime);
      testBed.shutDownGracefully();
      report(testBed, out);
      return testBed.clients();
    }
  }

  private static void awaitEnd(TestBed testBed, long arrivalsEnd) throws InterruptedException {
    while (testBed.scheduler().now() < arrivalsEnd) {
      Thread.sleep(ARRIVALS_POLL_MILLIS);
    }
    long deadline = arrivalsEnd + testBed.scenario().longestTimeout() + IN_FLIGHT_MARGIN_MICROS;
    while (testBed.clients().attemptsInFlight() > 0 && testBed.scheduler().now() < deadline) {
      Thread.sleep(IN_FLIGHT_POLL_MILLIS);
    }
    Thread.sleep(LATE_RESPONSE_WAIT_MILLIS);
  }

  private static void report(TestBed testBed, PrintStream out) {
    out.printf(
        "%-16s %6s %6s %8s %6s %8s %7s %7s %11s %8s%n",
        "workload",
        "jobs",
        "tries",
        "finished",
        "late",
        "pushed",
        "killed",
        "gave up",
        "unreachable",
        "service");
    for (var entry : testBed.clients().tallies().entrySet()) {
      RequestTally tally = entry.getValue();
      out.printf(
          "%-16s %6d %6d %8d %6d %8d %7d %7d %11d %8.3f%n",
          entry.getKey(),
          tally.requests(),
          tally.attempts(),
          tally.succeeded(),
          tally.succeededLate(),
          tally.rejected(),
          tally.failed(),
          tally.timedOut(),
          tally.unreachable(),
          tally.weights().service());
    }
    out.printf(
        "service %.3f, worst 10 s window %.3f, fetches from the store %d (simulated servers)%n",
        testBed.clients().service(),
        testBed.clients().worstWindowService(WORST_WINDOW_SECONDS),
        testBed.store().fetches());
  }
}
