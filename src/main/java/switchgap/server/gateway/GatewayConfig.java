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
 * The configuration of a router, with one record for each section of its YAML document.
 *
 * @param settings the settings of the router's policy
 * @param seed seed of the random draws of routing policy and admission control
 * @param listener the section {@code listen}
 * @param requestLimits the section {@code holds}
 * @param workers the section {@code links}
 * @param endpoints the section {@code list}
 * @param plannerLink the section {@code planner}, or null if no planner is configured
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
   * Address and limits of the port for clients.
   *
   * @param port port number, 0 for any free port
   * @param selectorThreads number of threads that read requests, and of threads that write
   *     responses
   */
  public record ListenerConfig(
      String host, int port, HttpServerLimits limits, int selectorThreads) {}

  /**
   * Limits of the requests and results that the router holds in memory.
   *
   * @param maxPending maximum number of pending requests
   * @param maxFunctions maximum number of functions whose state is stored
   * @param resultRetention time for which the result of a deferred request is stored
   * @param maxDeferred maximum number of deferred requests, both pending and ended with a stored
   *     result
   * @param maxDeferredBytes maximum total size of the stored results, in bytes
   * @param maxPollSeconds longest time that a poll for a result may wait, in seconds
   */
  public record RequestLimits(
      int maxPending,
      int maxFunctions,
      Duration resultRetention,
      int maxDeferred,
      long maxDeferredBytes,
      int maxPollSeconds) {}

  /**
   * Limits and timeouts of the connections to the workers.
   *
   * @param sourceAddress local address to connect from, or null for the system's choice
   * @param maxResponseBytes maximum size of a response body, in bytes
   * @param commandTimeout timeout of load commands
   * @param probeTimeout timeout of load probes
   */
  public record WorkerConnections(
      HttpPoolLimits limits,
      String sourceAddress,
      int maxResponseBytes,
      Duration commandTimeout,
      Duration probeTimeout) {}

  /**
   * Source of the endpoint list: a service, the configuration itself, or both.
   *
   * @param service address of the endpoint list service, or null
   * @param retryInterval time between the loss of the connection to the service and the next
   *     attempt to connect
   * @param staticWorkers workers that are named in the configuration
   */
  public record EndpointList(
      InetSocketAddress service, Duration retryInterval, List<EndpointUpdate> staticWorkers) {}

  /**
   * Connection to the planner, which decides the order of load commands.
   *
   * @param address address at which the router listens for the planner
   * @param planTimeout time after which a load command is sent without a plan
   */
  public record PlannerLink(InetSocketAddress address, Duration planTimeout) {}

  /** Reads a YAML file like {@link #read(YamlDocument)}. */
  public static GatewayConfig read(Path file) throws IOException {
    return read(YamlDocument.read(file));
  }

  /**
   * Reads and validates a document.
   *
   * @throws switchgap.config.InvalidConfigException if it is invalid, with file, line and key
   */
  public static GatewayConfig read(YamlDocument document) {
    return new GatewayConfigReader(document).read();
  }

  /** The address at which the router listens for its planner, or null if none is configured. */
  public InetSocketAddress plannerAddress() {
    return plannerLink == null ? null : plannerLink.address();
  }
}
