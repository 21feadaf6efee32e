package switchgap.server.gateway;

import java.util.function.Function;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnector;
import switchgap.net.KeyedWriters;
import switchgap.protocol.inference.InferenceWorkerTransport;
import switchgap.router.CoreLimits;
import switchgap.router.RouterCore;
import switchgap.router.WorkerTransport;

/**
 * Makes a router's core with the transports through which it reaches the workers. Used once, by the
 * constructor of the event loop.
 */
final class CoreFactory implements Function<EventLoop, RouterCore> {
  private final GatewayConfig config;
  private final RouterCore.Policy policy;
  private final HttpClientConnector connections;
  private final KeyedWriters writers;
  private volatile Runnable endpointListRequest = () -> {};
  private InferenceWorkerTransport workers;
  private PlannedWorkerTransport planned;

  CoreFactory(
      GatewayConfig config,
      RouterCore.Policy policy,
      HttpClientConnector connections,
      KeyedWriters writers) {
    this.config = config;
    this.policy = policy;
    this.connections = connections;
    this.writers = writers;
  }

  @Override
  public RouterCore apply(EventLoop loop) {
    workers =
        new InferenceWorkerTransport(
            connections,
            config.workers().limits(),
            writers,
            loop::post,
            () -> endpointListRequest.run());
    if (config.plannerLink() != null) {
      planned =
          new PlannedWorkerTransport(
              workers, config.settings(), config.plannerLink().planTimeout(), loop::post);
    }
    WorkerTransport transport = planned == null ? workers : planned;
    return new RouterCore(
        config.settings(),
        policy,
        transport,
        new CoreLimits(
            config.workers().commandTimeout(),
            config.workers().probeTimeout(),
            config.requestLimits().maxFunctions()));
  }

  /** Sets what runs when the core requests the endpoint list; before that nothing does. */
  void onEndpointListRequest(Runnable action) {
    endpointListRequest = action;
  }

  /** The transport to the workers. */
  InferenceWorkerTransport workers() {
    return workers;
  }

  /** The transport in which load commands wait for plans, or null without a planner. */
  PlannedWorkerTransport planned() {
    return planned;
  }
}
