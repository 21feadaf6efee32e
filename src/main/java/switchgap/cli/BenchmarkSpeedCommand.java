package switchgap.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import switchgap.testbed.experiment.SpeedMeasurement;

/** Measures latency and throughput of a router, and of a relay without routing as the baseline. */
@Command(
    name = "speed",
    mixinStandardHelpOptions = true,
    description = "Latency and requests per second beside a relay of the same filter chains.")
final class BenchmarkSpeedCommand implements Callable<Integer> {
  @Option(names = "--seconds", paramLabel = "<seconds>", defaultValue = "6")
  private int loadSeconds;

  @Option(names = "--connections", paramLabel = "<connections>", defaultValue = "64")
  private int connectionCount;

  @Option(names = "--rate", paramLabel = "<rate>", defaultValue = "1000")
  private int requestsPerSecond;

  @Override
  public Integer call() throws IOException, InterruptedException {
    SpeedMeasurement.run(
        Duration.ofSeconds(loadSeconds), connectionCount, requestsPerSecond, System.out);
    return ExitCode.OK;
  }
}
