package switchgap.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs a router on the platform until SIGTERM; its settings come from environment variables. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description =
        "Runs a router on the platform until SIGTERM, by NODE_NAME, "
            + "NODE_LISTEN and NODE_CONFIG.")
final class ServeCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return switchgap.server.platform.PlatformProcess.run();
  }
}
