package switchgap.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The parent of the commands that run and check scenarios. */
@Command(
    name = "day",
    mixinStandardHelpOptions = true, //
    description = "Plays scripted days over loopback sockets and checks their rules.", //
    subcommands = {ScenarioRunCommand.class, ScenarioCheckCommand.class})
final class ScenarioCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    CommandLine.usage(this, System.out);
    return ExitCode.UNUSABLE_INPUT;
  }
}
