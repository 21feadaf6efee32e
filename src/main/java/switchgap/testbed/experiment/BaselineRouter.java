package switchgap.testbed.experiment;

import java.io.IOException;
import java.nio.file.Path;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/** Starts a router with a baseline policy instead of the routing policy. */
public final class BaselineRouter {
  private BaselineRouter() {}

  /**
   * Starts a router with the configuration file. {@code choice} is {@code turns} for round robin;
   * any other word selects workers at random.
   */
  public static GatewayRouter start(Path configFile, String choice) throws IOException {
    GatewayConfig config = GatewayConfig.read(configFile);
    return new GatewayRouter(
        config, new BaselinePolicy(config.settings(), BaselineChoice.of(choice), config.seed()));
  }
}
