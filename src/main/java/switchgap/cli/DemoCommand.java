package switchgap.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import switchgap.testbed.scenario.DemoScenario;

/** Runs a router, emulated workers and a short load in one process, and prints the results. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = "A router and its emulator in one process under a short load, and the results.")
final class DemoCommand implements Callable<Integer> {
  @Option(names = "--keep", description = "leave it up until interrupted")
  private boolean keepRunning;

  @Option(
      names = "--seconds",
      paramLabel = "<seconds>",
      defaultValue = "8",
      description = "of load (default: ${DEFAULT-VALUE})")
  private int loadSeconds;

  @Override
  public Integer call() throws IOException, InterruptedException {
    return DemoScenario.run(loadSeconds, keepRunning, System.out);
  }
}
