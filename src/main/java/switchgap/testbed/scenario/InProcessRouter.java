package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Path;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/** A router that runs in this process. It cannot be suspended and has no planner. */
final class InProcessRouter implements RouterHost {
  private final Path config;
  private GatewayRouter gateway;

  InProcessRouter(Path config) {
    this.config = config;
  }

  @Override
  public void start() throws IOException {
    gateway = new GatewayRouter(GatewayConfig.read(config));
  }

  @Override
  public boolean isRunning() {
    return gateway != null;
  }

  @Override
  public void kill() {
    if (gateway != null) {
      gateway.close();
    }
    gateway = null;
  }

  @Override
  public boolean suspend() {
    return false;
  }

  @Override
  public boolean resume() {
    return false;
  }

  @Override
  public void stop() {
    if (gateway != null) {
      gateway.stop();
    }
  }
}
