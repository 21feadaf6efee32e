package switchgap.cli;

import org.slf4j.bridge.SLF4JBridgeHandler;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Parent command of all commands, whose exit codes are those of {@link ExitCode}. */
@Command(
    name = "switchgap",
    mixinStandardHelpOptions = true,
    versionProvider = VersionProvider.class,
    description = "A gateway for functions that workers load on demand.",
    subcommands = {
      RouterCommand.class,
      PlannerCommand.class,
      StatusCommand.class,
      InvokeCommand.class,
      LevelsCommand.class,
      EmulatorCommand.class,
      ScenarioCommand.class,
      DemoCommand.class,
      SoakCommand.class,
      BenchmarkCommand.class,
      LoadCommand.class,
      ExperimentCommand.class,
      ServeCommand.class,
      SimulatorHostCommand.class
    })
final class RootCommand {
  private RootCommand() {}

  /** Parses the arguments, runs the command that they specify, and returns its exit code. */
  static int run(String[] arguments) {
    SLF4JBridgeHandler.removeHandlersForRootLogger();
    SLF4JBridgeHandler.install();
    CommandLine commandLine = commandLine();
    int code = commandLine.execute(arguments);
    if (arguments.length == 0) {
      commandLine.usage(System.out);
    }
    return code;
  }

  /** The parser for all commands, under their current and their former names. */
  static CommandLine commandLine() {
    CommandLine commandLine = new CommandLine(new RootCommand());
    FormerCommandNames.addTo(commandLine);
    commandLine.setExecutionExceptionHandler(new CommandErrorHandler());
    return commandLine;
  }
}
