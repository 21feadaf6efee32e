package switchgap.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Parent command of the router benchmarks; prints its usage if run without a subcommand. */
@Command(
    name = "benchmark",
    mixinStandardHelpOptions = true,
    description = "Measures the router on this machine.",
    subcommands = {
      BenchmarkSpeedCommand.class,
      BenchmarkMemoryCommand.class,
      BenchmarkRelayCommand.class
    })
final class BenchmarkCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    CommandLine.usage(this, System.out);
    return ExitCode.UNUSABLE_INPUT;
  }
}
