package switchgap.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;
import switchgap.testbed.experiment.BaselineRouter;

/** Runs a router until SIGTERM. */
@Command(
    name = "router",
    aliases = "edge",
    mixinStandardHelpOptions = true,
    description = "Runs a router by its configuration until SIGTERM.")
final class RouterCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "CONFIG",
      description = "YAML: settings, functions, listen address, endpoint list")
  private Path configFile;

  @Option(names = "--check", description = "check the configuration and start nothing")
  private boolean checkOnly;

  @Option(
      names = "--baseline",
      hidden = true,
      paramLabel = "<baseline>",
      description = "random or turns, in place of the routing policy: to measure")
  private String baseline;

  @Option(
      names = "--split",
      description = "plan load commands in a process of its own, restarted when it ends")
  private boolean separatePlanner;

  @Override
  public Integer call() throws IOException, InterruptedException {
    GatewayConfig config = GatewayConfig.read(configFile);
    if (separatePlanner) {
      PlannerCommand.requirePlannerPort(configFile, config);
    }
    if (checkOnly) {
      System.out.println(configFile + ": valid");
      return ExitCode.OK;
    }
    GatewayRouter router =
        baseline == null ? new GatewayRouter(config) : BaselineRouter.start(configFile, baseline);
    PlannerSupervisor planner = separatePlanner ? new PlannerSupervisor(configFile) : null;
    awaitShutdown(router, planner);
    return ExitCode.OK;
  }

  private static void awaitShutdown(GatewayRouter router, PlannerSupervisor planner)
      throws InterruptedException {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  if (planner != null) {
                    planner.close();
                  }
                  router.stop();
                  stopped.countDown();
                  // All pending requests have been answered, so the process exits with code 0.
                  Runtime.getRuntime().halt(ExitCode.OK);
                },
                "router-shutdown"));
    stopped.await();
  }
}
