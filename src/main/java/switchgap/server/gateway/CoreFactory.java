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
 * Creates a router's core and its transports to the workers. Used once, by the constructor of the
 * event loop.
 */
final class CoreFactory implements Function<EventLoop, RouterCore> {
  private final GatewayConfig config;
  private final RouterCore.Policy policy;
  private final HttpClientConnector connector;
  private final KeyedWriters writers;
  private volatile Runnable endpointListRequester = () -> {};
  private InferenceWorkerTransport inferenceTransport;
  private PlannedWorkerTransport plannedTransport;

  CoreFactory(
      GatewayConfig config,
      RouterCore.Policy policy,
      HttpClientConnector connector,
      KeyedWriters writers) {
    this.config = config;
    this.policy = policy;
    this.connector = connector;
    this.writers = writers;
  }

  @Override
  public RouterCore apply(EventLoop loop) {
    inferenceTransport =
        new InferenceWorkerTransport(
            connector,
            config.workers().limits(),
            writers,
            loop::now,
            loop::post,
            () -> endpointListRequester.run());
    if (config.plannerLink() != null) {
      plannedTransport =
          new PlannedWorkerTransport(
              inferenceTransport,
              config.settings(),
              config.plannerLink().planTimeout(),
              loop::post);
    }
    WorkerTransport transport = plannedTransport == null ? inferenceTransport : plannedTransport;
    return new RouterCore(
        config.settings(),
        policy,
        transport,
        new CoreLimits(
            config.workers().commandTimeout(),
            config.workers().probeTimeout(),
            config.requestLimits().maxFunctions()));
  }

  /**
   * Sets the action for the core's requests for the endpoint list, which are ignored until then.
   */
  void onEndpointListRequest(Runnable requester) {
    endpointListRequester = requester;
  }

  /** The transport that exchanges requests with the workers; null before {@link #apply}. */
  InferenceWorkerTransport inferenceTransport() {
    return inferenceTransport;
  }

  /** The transport in which load commands wait for plans, or null if no planner is configured. */
  PlannedWorkerTransport plannedTransport() {
    return plannedTransport;
  }
}
