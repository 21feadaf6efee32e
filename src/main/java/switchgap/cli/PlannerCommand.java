package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import switchgap.config.InvalidConfigException;
import switchgap.net.NetworkTransport;
import switchgap.planner.link.PlannerClient;
import switchgap.server.gateway.GatewayConfig;

/**
 * Runs the planner of one router. The planner decides when and in which order the router sends its
 * load commands.
 */
@Command(
    name = "planner",
    mixinStandardHelpOptions = true,
    description = "Plans the load commands of the router with this configuration.")
final class PlannerCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "CONFIG",
      description = "the configuration of the router, with the section planner")
  private Path configFile;

  @Override
  public Integer call() throws IOException, InterruptedException {
    GatewayConfig config = requirePlannerPort(configFile, GatewayConfig.read(configFile));
    int routerIndex = config.settings().routerIndex();
    NetworkTransport transport = new NetworkTransport(1, "planner-" + routerIndex);
    PlannerClient client = new PlannerClient(transport, config.plannerAddress(), routerIndex);
    Runtime.getRuntime().addShutdownHook(new Thread(client::close, "planner-shutdown"));
    Thread.currentThread().join();
    return ExitCode.OK;
  }

  /**
   * Returns the configuration if it contains the port at which the planner connects to the router.
   *
   * @throws InvalidConfigException if the port is missing or 0
   */
  static GatewayConfig requirePlannerPort(Path file, GatewayConfig config) {
    if (config.plannerAddress() == null || config.plannerAddress().getPort() == 0) {
      throw new InvalidConfigException(
          file.toString(), 1, "missing section planner with a port other than 0");
    }
    return config;
  }
}
