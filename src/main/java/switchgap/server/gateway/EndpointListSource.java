package switchgap.server.gateway;

import switchgap.endpoints.EndpointListWatcher;
import switchgap.endpoints.EndpointNames;
import switchgap.eventloop.EventLoop;
import switchgap.net.HttpClientConnector;

/**
 * Where a router learns its workers: from the endpoint list service, from its configuration, or
 * from both.
 */
final class EndpointListSource implements AutoCloseable {
  private final GatewayConfig.EndpointList endpoints;
  private final EventLoop loop;
  private final EndpointListWatcher watcher; // null: the configuration names all workers

  /**
   * Creates the source, which requests nothing before {@link #start}.
   *
   * @param startedAtMillis wall time of the router's start
   */
  EndpointListSource(
      GatewayConfig config, HttpClientConnector connections, EventLoop loop, long startedAtMillis) {
    this.endpoints = config.endpoints();
    this.loop = loop;
    this.watcher =
        endpoints.service() == null ? null : createWatcher(config, connections, startedAtMillis);
  }

  private EndpointListWatcher createWatcher(
      GatewayConfig config, HttpClientConnector connections, long startedAtMillis) {
    EndpointNames names =
        new EndpointNames(
            config.settings()::zoneIndex, config.settings()::workerKindIndex, startedAtMillis);
    return new EndpointListWatcher(
        connections,
        endpoints.service(),
        config.settings().routerIndex(),
        endpoints.retryInterval(),
        names,
        loop::postUrgent);
  }

  /**
   * Delivers the configured workers and watches the service; watches it anew at the request of the
   * core.
   */
  void start(CoreFactory cores) {
    if (!endpoints.staticWorkers().isEmpty()) {
      loop.post(core -> core.endpointListReceived(true, endpoints.staticWorkers()));
    }
    if (watcher != null) {
      cores.onEndpointListRequest(watcher::follow);
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
