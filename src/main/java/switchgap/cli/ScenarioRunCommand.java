package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import switchgap.testbed.scenario.ScenarioRunner;

/** Runs a scenario over loopback sockets and writes its logs. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description = "Runs a scenario and writes its logs.")
final class ScenarioRunCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE")
  private Path scenarioFile;

  @Option(
      names = "--record",
      paramLabel = "DIR",
      required = true,
      description = "where the logs go")
  private Path logDirectory;

  @Option(
      names = "--baseline",
      paramLabel = "<baseline>",
      description = "random or turns in place of the routing policy, to measure against")
  private String baseline;

  @Override
  public Integer call() throws IOException, InterruptedException {
    ScenarioRunner.run(scenarioFile, logDirectory, baseline, System.out);
    return ExitCode.OK;
  }
}
