package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A small scenario within one process, from a document that is part of the program. */
public final class DemoScenario {
  private static final String DOCUMENT = "demo.yaml";

  private DemoScenario() {}

  /**
   * Plays the scenario, prints the outcome of its requests and checks the invariants.
   *
   * @param seconds length of the scenario
   * @param untilInterrupted whether to keep running until interrupted, without an end or a check
   * @param out receives the figures
   * @return exit code: 0 where the invariants held, else 1
   */
  public static int run(int seconds, boolean untilInterrupted, PrintStream out)
      throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("switchgap-demo");
    Path file = directory.resolve(DOCUMENT);
    try (InputStream document = DemoScenario.class.getResourceAsStream(DOCUMENT)) {
      String template = new String(document.readAllBytes(), StandardCharsets.UTF_8);
      Files.writeString(file, template.replace("SECONDS", seconds + "s"));
    }
    out.println("a router and its stand-ins on loopback ports; logs in " + directory);
    if (untilInterrupted) {
      keepRunning(file, directory, out);
    }
    ScenarioRunner.play(file, directory, null, out);
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
