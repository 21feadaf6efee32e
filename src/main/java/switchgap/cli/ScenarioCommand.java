package switchgap.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Parent command for running and checking scenarios; prints its usage without a subcommand. */
@Command(
    name = "scenario",
    mixinStandardHelpOptions = true,
    description = "Runs scripted scenarios over loopback sockets and checks their invariants.",
    subcommands = {ScenarioRunCommand.class, ScenarioCheckCommand.class})
final class ScenarioCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    CommandLine.usage(this, System.out);
    return ExitCode.UNUSABLE_INPUT;
  }
}
