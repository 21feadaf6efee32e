package switchgap.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Commands can be run by their current and former names; the help lists only the current names. */
class CommandNamesTest {
  private final CommandLine root = RootCommand.commandLine();

  private CommandLine command(String... path) {
    CommandLine command = root;
    for (String name : path) {
      command = command.getSubcommands().get(name);
    }
    return command;
  }

  private Class<?> commandClass(String... path) {
    return command(path).getCommandSpec().userObject().getClass();
  }

  private Class<?> parsedCommandClass(String... arguments) {
    CommandLine.ParseResult result = root.parseArgs(arguments);
    while (result.hasSubcommand()) {
      result = result.subcommand();
    }
    return result.commandSpec().userObject().getClass();
  }

  @ParameterizedTest
  @CsvSource({
    "scenario, day",
    "benchmark, lab",
    "emulator, standin",
    "simulator-host, simhost",
  })
  void formerNameReachesTheSameCommandClass(String currentName, String formerName) {
    assertThat(commandClass(formerName)).isEqualTo(commandClass(currentName));
  }

  @ParameterizedTest
  @CsvSource({
    "scenario, day",
    "benchmark, lab",
    "emulator, standin",
    "simulator-host, simhost",
  })
  void helpListsOnlyTheCurrentName(String currentName, String formerName) {
    String help = root.getUsageMessage();
    assertThat(help).containsPattern("(?m)^  " + currentName + " ");
    assertThat(help).doesNotContainPattern("(?m)^  .*\\b" + formerName + "\\b.*  ");
    assertThat(command(formerName).getCommandSpec().usageMessage().hidden()).isTrue();
  }

  @Test
  void formerNamesAreThoseOfTheFourRenamedCommands() {
    assertThat(FormerCommandNames.COMMANDS)
        .isEqualTo(
            Map.of(
                "day", ScenarioCommand.class,
                "lab", BenchmarkCommand.class,
                "standin", EmulatorCommand.class,
                "simhost", SimulatorHostCommand.class));
  }

  @ParameterizedTest
  @CsvSource({"scenario", "day"})
  void scenarioCommandsParseUnderBothNames(String parent) {
    assertThat(parsedCommandClass(parent, "run", "a.yaml", "--record", "logs"))
        .isEqualTo(ScenarioRunCommand.class);
    assertThat(parsedCommandClass(parent, "check", "logs")).isEqualTo(ScenarioCheckCommand.class);
  }

  @ParameterizedTest
  @CsvSource({"benchmark", "lab"})
  void benchmarkCommandsParseUnderBothNames(String parent) {
    assertThat(parsedCommandClass(parent, "speed")).isEqualTo(BenchmarkSpeedCommand.class);
    assertThat(parsedCommandClass(parent, "memory")).isEqualTo(BenchmarkMemoryCommand.class);
    assertThat(parsedCommandClass(parent, "relay", "--port", "1", "--workers", "2"))
        .isEqualTo(BenchmarkRelayCommand.class);
  }

  @Test
  void formerNameEdgeReachesRouterCommand() {
    assertThat(commandClass("edge")).isEqualTo(RouterCommand.class);
  }
}
