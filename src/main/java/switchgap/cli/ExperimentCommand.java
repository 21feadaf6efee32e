package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import switchgap.testbed.experiment.Experiment;

/** Compares variants of the router's settings in simulated time. */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description = "Variants over a load curve in simulated time, side by side.")
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE")
  private Path experimentFile;

  @Option(names = "--quick", description = "one seed and a part of the time")
  private boolean quick;

  @Option(names = "--report", paramLabel = "FILE", description = "an HTML page with plots")
  private Path reportFile;

  @Option(
      names = "--results",
      paramLabel = "DIR",
      description = "trials and seconds as CSV and Arrow files")
  private Path resultDirectory;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Experiment.run(experimentFile, quick, reportFile, resultDirectory, System.out);
    return ExitCode.OK;
  }
}
