package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import switchgap.testbed.scenario.EmulatorHost;

/**
 * Runs the emulated workers, store and endpoint list service of a scenario, without its routers and
 * clients.
 */
@Command(
    name = "emulator",
    mixinStandardHelpOptions = true,
    description = "Runs a scenario's emulated model servers, store and endpoint list alone.")
final class EmulatorCommand implements Callable<Integer> {
  @Parameters(paramLabel = "SCENARIO")
  private Path scenarioFile;

  @Option(
      names = "--record",
      paramLabel = "DIR",
      required = true,
      description = "where logs and router configurations go")
  private Path logDirectory;

  @Option(names = "--script", description = "play the fault script too")
  private boolean playsFaultScript;

  @Override
  public Integer call() throws IOException, InterruptedException {
    EmulatorHost.run(scenarioFile, logDirectory, playsFaultScript, System.out);
    return ExitCode.OK;
  }
}
