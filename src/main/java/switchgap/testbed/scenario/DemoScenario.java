package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A small built-in scenario that runs in one process. */
public final class DemoScenario {
  private static final String DOCUMENT = "demo.yaml";

  private DemoScenario() {}

  /**
   * Runs the scenario, prints a summary of the outcomes of its requests and checks the invariants.
   *
   * @param seconds length of the scenario, in seconds
   * @param untilInterrupted whether to generate load until the process is terminated, without a
   *     summary and without checks
   * @param out stream to which the results are printed
   * @return exit code: 0 if all invariants hold, otherwise 1
   * @throws IOException if a port, a process or a log cannot be opened
   * @throws InterruptedException if the calling thread is interrupted
   */
  public static int run(int seconds, boolean untilInterrupted, PrintStream out)
      throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("switchgap-demo");
    Path file = directory.resolve(DOCUMENT);
    try (InputStream document = DemoScenario.class.getResourceAsStream(DOCUMENT)) {
      String template = new String(document.readAllBytes(), StandardCharsets.UTF_8);
      Files.writeString(file, template.replace("SECONDS", seconds + "s"));
    }
    out.println(
        "router and emulated workers, store and clients on loopback ports; logs in " + directory);
    if (untilInterrupted) {
      keepRunning(file, directory, out);
    }
    ScenarioRunner.run(file, directory, null, out);
    InvariantChecker checker = InvariantChecker.read(directory);
    checker.print(out);
    return checker.violations().isEmpty() ? 0 : 1;
  }

  private static void keepRunning(Path file, Path directory, PrintStream out)
      throws IOException, InterruptedException {
    try (TestBed testBed = new TestBed(Scenario.read(file), directory, null)) {
      testBed.scheduler().post(() -> testBed.clients().start(Long.MAX_VALUE));
      for (int i = 0; i < testBed.routers().size(); i++) {
        out.println(
            "router "
                + i
                + ": switchgap call status-refresh-0 --router http://127.0.0.1:"
                + testBed.routers().port(i));
      }
      Thread.currentThread().join();
    }
  }
}
