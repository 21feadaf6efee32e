package switchgap.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import switchgap.testbed.experiment.MemoryMeasurement;

/** Measures the heap of a router with many workers and functions, and of each pending request. */
@Command(
    name = "memory",
    mixinStandardHelpOptions = true,
    description = "Heap of a router at size and of each pending request.")
final class BenchmarkMemoryCommand implements Callable<Integer> {
  @Option(names = "--calls", paramLabel = "<calls>", defaultValue = "10000")
  private int requests;

  @Override
  public Integer call() throws IOException, InterruptedException {
    MemoryMeasurement.run(requests, System.out);
    return ExitCode.OK;
  }
}
