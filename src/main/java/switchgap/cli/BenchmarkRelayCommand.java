package switchgap.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import switchgap.testbed.experiment.SpeedMeasurement;

/** Runs the baseline of the speed benchmark, a relay without routing, until the process ends. */
@Command(name = "relay", hidden = true, description = "The baseline, for benchmark speed.")
final class BenchmarkRelayCommand implements Callable<Integer> {
  @Option(names = "--port", paramLabel = "<port>", required = true)
  private int port;

  @Option(names = "--workers", paramLabel = "<workers>", required = true, split = ",")
  private List<Integer> workerPorts;

  @Override
  public Integer call() throws IOException, InterruptedException {
    SpeedMeasurement.startRelay(port, workerPorts);
    Thread.currentThread().join();
    return ExitCode.OK;
  }
}
