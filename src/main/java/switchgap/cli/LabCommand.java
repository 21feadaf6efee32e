package switchgap.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The parent of the measurements. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true, //
    description = "Measures the router on this machine.", //
    subcommands = {LabSpeedCommand.class, LabMemoryCommand.class, LabRelayCommand.class})
final class LabCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    CommandLine.usage(this, System.out);
    return ExitCode.UNUSABLE_INPUT;
  }
}
