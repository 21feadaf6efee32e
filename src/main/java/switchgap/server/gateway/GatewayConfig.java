package switchgap.server.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpServerLimits;
import switchgap.protocol.inference.HttpPoolLimits;
import switchgap.router.EndpointUpdate;

/**
 * The configuration of a router, one record for each section of its YAML document.
 *
 * @param settings the settings of the router's policy
 * @param seed of the policy's random draws
 * @param listener the section {@code listen}
 * @param requestLimits the section {@code holds}
 * @param workers the section {@code links}
 * @param endpoints the section {@code list}
 * @param plannerLink the section {@code planner}, or null
 */
public record GatewayConfig(
    YamlRouterSettings settings,
    long seed,
    ListenerConfig listener,
    RequestLimits requestLimits,
    WorkerConnections workers,
    EndpointList endpoints,
    PlannerLink plannerLink) {

  /**
   * Where and how the router accepts client connections.
   *
   * @param port 0 for any free one
   * @param selectorThreads threads that read requests; as many write responses
   */
  public record ListenerConfig(
      String host, int port, HttpServerLimits limits, int selectorThreads) {}

  /**
   * Bounds of the requests and results that the router keeps in memory.
   *
   * @param maxPending requests pending at a time
   * @param maxFunctions functions of which state is stored at a time
   * @param resultRetention time for which the result of a deferred request is stored
   * @param maxDeferred deferred requests, pending ones and results
   * @param maxDeferredBytes bytes of the stored results
   * @param maxPollSeconds longest time that a poll for a result may wait
   */
  public record RequestLimits(
      int maxPending,
      int maxFunctions,
      Duration resultRetention,
      int maxDeferred,
      long maxDeferredBytes,
      int maxPollSeconds) {}

  /**
   * Connections to the workers.
   *
   * @param sourceAddress local address to connect from, or null for any
   * @param maxResponseBytes largest body of a response
   * @param commandTimeout of load commands
   * @param probeTimeout of probes
   */
  public record WorkerConnections(
      HttpPoolLimits limits,
      String sourceAddress,
      int maxResponseBytes,
      Duration commandTimeout,
      Duration probeTimeout) {}

  /**
   * Where the endpoint list comes from: a service, the configuration itself, or both.
   *
   * @param service the endpoint list service, or null
   * @param retryInterval pause before the service is requested again
   * @param staticWorkers workers that the configuration names
   */
  public record EndpointList(
      InetSocketAddress service, Duration retryInterval, List<EndpointUpdate> staticWorkers) {}

  /**
   * The planner that sequences load commands.
   *
   * @param address where the router listens for it
   * @param planTimeout time after which a load command is sent without a plan
   */
  public record PlannerLink(InetSocketAddress address, Duration planTimeout) {}

  /** Reads a YAML file; see {@link #read(YamlDocument)}. */
  public static GatewayConfig read(Path file) throws IOException {
    return read(YamlDocument.read(file));
  }

  /**
   * Reads a document.
   *
   * @throws switchgap.config.InvalidConfigException where it is invalid, with file, line and key
   */
  public static GatewayConfig read(YamlDocument document) {
    return new GatewayConfigReader(document).read();
  }

  /** The address at which the router listens for its planner, or null where there is none. */
  public InetSocketAddress planner() {
    return plannerLink == null ? null : plannerLink.address();
  }
}
