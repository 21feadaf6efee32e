package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import switchgap.config.InvalidConfigException;
import switchgap.testbed.scenario.InvariantChecker;

/** Checks in the logs of a scenario whether the invariants held. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description =
        "Checks the five invariants in a scenario's logs: 0 held, 1 violated, 2 unusable.")
final class ScenarioCheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR")
  private Path logDirectory;

  @Override
  public Integer call() {
    try {
      InvariantChecker checker = InvariantChecker.read(logDirectory);
      checker.print(System.out);
      return checker.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILURE;
    } catch (IOException | InvalidConfigException e) {
      System.err.println("switchgap: can't check the logs: " + e.getMessage());
      return ExitCode.UNUSABLE_INPUT;
    }
  }
}
