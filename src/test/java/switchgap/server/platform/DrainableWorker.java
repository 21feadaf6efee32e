package switchgap.server.platform;

import java.io.IOException;
import java.io.OutputStream;

/**
 * A worker that can begin to drain. Its replies are those that the platform's workers were seen to
 * give: while it drains, requests and loads are rejected, probes fail, and a query of replicas is
 * answered as before.
 */
final class DrainableWorker implements RespTestServer.CommandHandler {
  private static final String QUERY = "count=0";

  private volatile boolean isDraining;

  /** Whether it drains from now on. */
  void setDraining(boolean draining) {
    isDraining = draining;
  }

  @Override
  public boolean handle(RespTestServer.Command command, OutputStream output) throws IOException {
    if (!isDraining) {
      return RespTestServer.executeAll(command, output);
    }
    switch (command.name()) {
      case RespTestServer.HEALTH_CHECK, RespTestServer.LOAD_PROBE ->
          reply(output, command, RespTestServer.UNHEALTHY);
      case RespTestServer.EXECUTE -> reply(output, command, RespTestServer.REJECTED);
      case RespTestServer.LOAD ->
          reply(
              output,
              command,
              isQuery(command) ? RespTestServer.SUCCEEDED : RespTestServer.REJECTED);
      default -> {} // the other commands have no reply
    }
    return true;
  }

  /** Whether a command is a query of replicas, which a draining worker may be sent. */
  static boolean isQuery(RespTestServer.Command command) {
    return command.name().equals(RespTestServer.LOAD) && command.options().endsWith(QUERY);
  }

  private static void reply(OutputStream output, RespTestServer.Command command, String status)
      throws IOException {
    RespTestServer.sendReply(output, command.id(), status, RespTestServer.NO_REPORT, "");
  }
}
