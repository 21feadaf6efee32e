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

/** Runs the planner of one router: it decides order and time of the router's load commands. */
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
   * Returns the config where it states the port at which the planner reaches its router.
   *
   * @throws InvalidConfigException where it does not
   */
  static GatewayConfig requirePlannerPort(Path file, GatewayConfig config) {
    if (config.plannerAddress() == null || config.plannerAddress().getPort() == 0) {
      throw new InvalidConfigException(file.toString(), 1, "needs the part planner with its port");
    }
    return config;
  }
}
