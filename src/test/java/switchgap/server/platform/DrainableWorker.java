package switchgap.server.platform;

import java.io.IOException;
import java.io.OutputStream;

/**
 * Command handler of a worker that can drain. It replies as workers on the platform do: while it
 * drains, it rejects requests and loads, fails probes, and still answers queries for the number of
 * replicas.
 */
final class DrainableWorker implements RespTestServer.CommandHandler {
  private static final String QUERY_OPTION = "count=0";

  private volatile boolean isDraining;

  /** Sets whether the worker drains from now on. */
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

  /**
   * Whether a command queries the number of replicas; a draining worker may still receive such
   * queries.
   */
  static boolean isQuery(RespTestServer.Command command) {
    return command.name().equals(RespTestServer.LOAD) && command.options().endsWith(QUERY_OPTION);
  }

  private static void reply(OutputStream output, RespTestServer.Command command, String status)
      throws IOException {
    RespTestServer.sendReply(output, command.id(), status, RespTestServer.NO_REPORT, "");
  }
}
