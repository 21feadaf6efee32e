package switchgap.server.gateway;

import switchgap.endpoints.EndpointListWatcher;
import switchgap.endpoints.EndpointNames;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnector;

/**
 * Provides the router with its workers: from the endpoint list service, from the configuration, or
 * both.
 */
final class EndpointListSource implements AutoCloseable {
  private final GatewayConfig.EndpointList endpointConfig;
  private final EventLoop loop;

  /** Null if all workers are named in the configuration. */
  private final EndpointListWatcher watcher;

  /**
   * Creates the source; it sends no request before {@link #start}.
   *
   * @param startedAtMillis wall time of the router's start, in milliseconds of Unix time
   */
  EndpointListSource(
      GatewayConfig config, HttpClientConnector connector, EventLoop loop, long startedAtMillis) {
    this.endpointConfig = config.endpoints();
    this.loop = loop;
    this.watcher =
        endpointConfig.service() == null ? null : createWatcher(config, connector, startedAtMillis);
  }

  private EndpointListWatcher createWatcher(
      GatewayConfig config, HttpClientConnector connector, long startedAtMillis) {
    EndpointNames names =
        new EndpointNames(
            config.settings()::zoneIndex, config.settings()::workerKindIndex, startedAtMillis);
    return new EndpointListWatcher(
        connector,
        endpointConfig.service(),
        config.settings().routerIndex(),
        endpointConfig.retryInterval(),
        names,
        loop::postUrgent);
  }

  /**
   * Delivers the configured workers and starts to watch the service. If the watch has ended, a
   * request of the core starts it again.
   */
  void start(CoreFactory coreFactory) {
    if (!endpointConfig.staticWorkers().isEmpty()) {
      loop.post(core -> core.endpointListReceived(true, endpointConfig.staticWorkers()));
    }
    if (watcher != null) {
      coreFactory.onEndpointListRequest(watcher::follow);
      watcher.follow();
    }
  }

  @Override
  public void close() {
    if (watcher != null) {
      watcher.close();
    }
  }
}
