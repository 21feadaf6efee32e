package switchgap.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Hosts router instances for the simulator, over standard input and output. */
@Command(
    name = "simulator-host",
    mixinStandardHelpOptions = true,
    description = "Hosts router instances on the simulator's wire, on standard input and output.")
final class SimulatorHostCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return Main.runSimulatorHost();
  }
}
