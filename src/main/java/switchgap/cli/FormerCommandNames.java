package switchgap.cli;

import java.util.Map;
import picocli.CommandLine;

/**
 * Names that commands had in earlier versions. They still work, but the help lists only the current
 * names.
 */
final class FormerCommandNames {
  /** The command classes, by the former names of the commands. */
  static final Map<String, Class<?>> COMMANDS =
      Map.of(
          "day", ScenarioCommand.class,
          "lab", BenchmarkCommand.class,
          "standin", EmulatorCommand.class,
          "simhost", SimulatorHostCommand.class);

  private FormerCommandNames() {}

  /** Adds a hidden command for each former name. */
  static void addTo(CommandLine root) {
    COMMANDS.forEach(
        (name, commandClass) -> {
          CommandLine command = new CommandLine(commandClass);
          command.getCommandSpec().usageMessage().hidden(true);
          root.addSubcommand(name, command);
        });
  }
}
