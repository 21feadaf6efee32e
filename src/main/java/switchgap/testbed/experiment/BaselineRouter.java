package switchgap.testbed.experiment;

import java.io.IOException;
import java.nio.file.Path;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/** A router under a textbook policy in place of the program's own. */
public final class BaselineRouter {
  private BaselineRouter() {}

  /** Starts a router by its configuration; {@code choice} is random or turns. */
  public static GatewayRouter start(Path configFile, String choice) throws IOException {
    GatewayConfig config = GatewayConfig.read(configFile);
    return new GatewayRouter(
        config, new BaselinePolicy(config.settings(), BaselineChoice.of(choice), config.seed()));
  }
}
