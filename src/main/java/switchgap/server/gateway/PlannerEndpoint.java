package switchgap.server.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import switchgap.eventloop.EventLoop;
import switchgap.net.NetworkTransport;
import switchgap.planner.LoadPlan;
import switchgap.planner.link.PlannerServer;

/**
 * The port to which the planner connects. Posts the planner's plans to the event loop and sends it
 * the backlog of load commands.
 */
final class PlannerEndpoint implements AutoCloseable {
  private final PlannerServer server;

  /**
   * Opens the port for the planner.
   *
   * @param transport the transport in which load commands wait for plans; used on the event loop
   * @throws IOException if the port can't be opened
   */
  PlannerEndpoint(
      NetworkTransport network,
      InetSocketAddress address,
      int routerIndex,
      EventLoop loop,
      PlannedWorkerTransport transport)
      throws IOException {
    server =
        new PlannerServer(
            network,
            address.getHostString(),
            address.getPort(),
            routerIndex,
            new EventLoopForwarder(loop, transport));
    loop.post(core -> transport.setBacklogSender(server::send));
  }

  /** Forwards the planner's events from selector threads to the event loop. */
  private record EventLoopForwarder(EventLoop loop, PlannedWorkerTransport transport)
      implements PlannerServer.Listener {
    @Override
    public void plannerConnected(long epoch) {
      loop.post(core -> transport.plannerConnected(core, epoch));
    }

    @Override
    public void plannerDisconnected(long epoch) {
      loop.post(core -> transport.plannerDisconnected(epoch));
    }

    @Override
    public void planReceived(LoadPlan plan) {
      loop.post(core -> transport.planReceived(plan));
    }
  }

  int port() {
    return server.port();
  }

  @Override
  public void close() {
    server.close();
  }
}
