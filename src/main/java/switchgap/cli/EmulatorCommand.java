package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import switchgap.testbed.scenario.EmulatorHost;

/**
 * Runs a scenario's emulated workers, store and endpoint list service without routers or clients.
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
  private boolean faultScript;

  @Override
  public Integer call() throws IOException, InterruptedException {
    EmulatorHost.run(scenarioFile, logDirectory, faultScript, System.out);
    return ExitCode.OK;
  }
}
