package switchgap.server.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpServerLimits;
import switchgap.policy.api.WorkerState;
import switchgap.protocol.inference.HttpPoolLimits;
import switchgap.router.EndpointUpdate;

/**
 * Reads a router's configuration section by section in a fixed order; the first error is reported.
 */
final class GatewayConfigReader {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int MAX_PORT = 65_535;
  private static final int MAX_COUNT = 1_000_000;
  private static final int KIB = 1 << 10;
  private static final int MIB = 1 << 20;
  private static final int MAX_BODY_BYTES = 256 * MIB;
  private static final int MAX_DEFERRED_MB = 1 << 20;

  /** Seeds are read as a double, which represents integers up to this value exactly. */
  private static final long MAX_SEED = 1L << 52;

  private final YamlDocument document;
  private final YamlRouterSettings settings;

  GatewayConfigReader(YamlDocument document) {
    this.document = document;
    this.settings = new YamlRouterSettings(document);
  }

  GatewayConfig read() {
    GatewayConfig.ListenerConfig listener = readListener(document.section("listen"));
    GatewayConfig.RequestLimits requestLimits =
        readRequestLimits(document.optionalSection("holds"));
    GatewayConfig.WorkerConnections workers =
        readWorkerConnections(document.optionalSection("links"));
    GatewayConfig.EndpointList endpoints = readEndpointList(document.optionalSection("list"));
    GatewayConfig.PlannerLink planner =
        document.has("planner") ? readPlannerLink(document.section("planner")) : null;
    long seed = (long) document.number("seed", 0, MAX_SEED, settings.routerIndex() + 1);
    document.rejectUnknownKeys();
    return new GatewayConfig(settings, seed, listener, requestLimits, workers, endpoints, planner);
  }

  private static GatewayConfig.ListenerConfig readListener(YamlDocument section) {
    String host = section.text("host", LOOPBACK);
    int port = section.integer("port", 0, MAX_PORT);
    HttpServerLimits limits =
        new HttpServerLimits(
            section.integer("header_bytes", KIB, MIB, 16 * KIB),
            section.integer("body_bytes", 1, MAX_BODY_BYTES, MIB),
            section.integer("connections", 1, MAX_COUNT, 20_000),
            section.duration("idle", Duration.ofSeconds(75)),
            section.duration("arrival", Duration.ofSeconds(10)));
    int selectorThreads = section.integer("selectors", 1, 64, 2);
    section.rejectUnknownKeys();
    return new GatewayConfig.ListenerConfig(host, port, limits, selectorThreads);
  }

  private static GatewayConfig.RequestLimits readRequestLimits(YamlDocument section) {
    int maxPending = section.integer("calls", 1, MAX_COUNT, 20_000);
    int maxFunctions = section.integer("functions", 1, MAX_COUNT, 20_000);
    Duration resultRetention = section.duration("results_kept", Duration.ofMinutes(5));
    int maxDeferred = section.integer("deferred", 1, MAX_COUNT, 10_000);
    long maxDeferredBytes = (long) section.integer("deferred_mb", 1, MAX_DEFERRED_MB, 64) * MIB;
    int maxPollSeconds = section.integer("poll_seconds", 0, 3600, 60);
    section.rejectUnknownKeys();
    return new GatewayConfig.RequestLimits(
        maxPending, maxFunctions, resultRetention, maxDeferred, maxDeferredBytes, maxPollSeconds);
  }

  private static GatewayConfig.WorkerConnections readWorkerConnections(YamlDocument section) {
    HttpPoolLimits limits =
        new HttpPoolLimits(
            section.integer("connections", 1, 100_000, 64),
            section.integer("waiting", 1, MAX_COUNT, 1024),
            section.duration("connect_within", Duration.ofMillis(250)),
            section.duration("idle", Duration.ofSeconds(30)));
    String sourceAddress = section.text("from", null);
    int maxResponseBytes = section.integer("answer_bytes", 1, MAX_BODY_BYTES, 4 * MIB);
    Duration commandTimeout = section.duration("order_within", Duration.ofSeconds(10));
    Duration probeTimeout = section.duration("probe_within", Duration.ofMillis(250));
    section.rejectUnknownKeys();
    return new GatewayConfig.WorkerConnections(
        limits, sourceAddress, maxResponseBytes, commandTimeout, probeTimeout);
  }

  private GatewayConfig.EndpointList readEndpointList(YamlDocument section) {
    InetSocketAddress service =
        section.has("port")
            ? new InetSocketAddress(
                section.text("host", LOOPBACK), section.integer("port", 1, MAX_PORT))
            : null;
    Duration retryInterval = section.duration("ask_again", Duration.ofMillis(500));
    List<EndpointUpdate> staticWorkers = new ArrayList<>();
    for (YamlDocument worker : section.sections("workers")) {
      staticWorkers.add(readWorker(worker));
    }
    section.rejectUnknownKeys();
    if (service == null && staticWorkers.isEmpty()) {
      throw document.invalid(
          "list", "must contain the port of the endpoint list service, or workers");
    }
    return new GatewayConfig.EndpointList(service, retryInterval, staticWorkers);
  }

  private EndpointUpdate readWorker(YamlDocument section) {
    int zone = settings.zoneIndex(section.text("zone", settings.zoneName(0)));
    if (zone < 0) {
      throw section.invalid(
          "zone", "'" + section.text("zone") + "' is not one of the configured zones");
    }
    EndpointUpdate worker =
        new EndpointUpdate(
            section.text("name"),
            section.text("host", LOOPBACK),
            section.integer("port", 1, MAX_PORT),
            WorkerState.READY,
            zone,
            section.integer("cell", 0, 100_000, 0),
            settings.workerKindIndex(section.text("kind", "")),
            section.number("size", 0, 1e9, 1),
            null);
    section.rejectUnknownKeys();
    return worker;
  }

  /**
   * Rejects a planner together with a quota on load commands. A command that waits for a plan would
   * be counted in an earlier window than the one in which it is sent, so the quota could be
   * exceeded.
   */
  private GatewayConfig.PlannerLink readPlannerLink(YamlDocument section) {
    InetSocketAddress address =
        new InetSocketAddress(section.text("host", LOOPBACK), section.integer("port", 0, MAX_PORT));
    Duration planTimeout = section.duration("patience", Duration.ofMillis(60));
    section.rejectUnknownKeys();
    if (!settings.loadQuotaWindow().isZero()) {
      throw document.invalid(
          "planner", "can't be combined with a quota on load commands (rules: loads_span)");
    }
    return new GatewayConfig.PlannerLink(address, planTimeout);
  }
}
