package switchgap.protocol.invoke;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Function;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.router.RouterCore;

/** What operators and their monitoring read: status, service levels, metrics, health. */
final class OperatorHandler {
  private static final String STATUS_PATH = "/v1/status";
  private static final String SERVICE_LEVELS_PATH = "/v1/levels";
  private static final String METRICS_PATH = "/metrics";
  private static final String HEALTH_PATH = "/healthz";
  private static final int STATUS_UNAVAILABLE = 503;

  private final YamlRouterSettings settings;
  private final RouterContext router;
  private final RequestTracker tracker;
  private final ServiceLevelHandler serviceLevels;
  private volatile Function<RouterCore, byte[]> statusSource; // null until it is set

  OperatorHandler(YamlRouterSettings settings, RouterContext router, RequestTracker tracker) {
    this.settings = settings;
    this.router = router;
    this.tracker = tracker;
    this.serviceLevels = new ServiceLevelHandler(settings);
  }

  void setStatusSource(Function<RouterCore, byte[]> source) {
    statusSource = source;
  }

  /**
   * Responds where the path is one of its own.
   *
   * @param stopping whether the router shuts down, which health reports
   * @return false where the path is not its own: then there is no response
   */
  boolean handle(HttpExchange exchange, boolean stopping) {
    switch (exchange.path()) {
      case STATUS_PATH -> {
        return respondStatus(exchange);
      }
      case SERVICE_LEVELS_PATH ->
          router.post(core -> serviceLevels.handle(exchange, router.gate()));
      case METRICS_PATH -> router.post(core -> respondMetrics(exchange));
      case HEALTH_PATH -> respondHealth(exchange, stopping);
      default -> {
        return false;
      }
    }
    return true;
  }

  private boolean respondStatus(HttpExchange exchange) {
    Function<RouterCore, byte[]> source = statusSource;
    if (source == null) {
      return false;
    }
    router.post(
        core -> ResponseWriter.writePage(exchange, ResponseWriter.JSON, source.apply(core)));
    return true;
  }

  private void respondMetrics(HttpExchange exchange) {
    byte[] page = MetricsWriter.write(settings, tracker, router.gate().admission());
    ResponseWriter.writePage(exchange, MetricsWriter.MEDIA_TYPE, page);
  }

  /** Responds at once, on the thread that read the request. */
  private static void respondHealth(HttpExchange exchange, boolean stopping) {
    exchange.respond(
        stopping ? STATUS_UNAVAILABLE : ResponseWriter.STATUS_OK,
        Map.of(HeaderNames.CONTENT_TYPE, "text/plain"),
        (stopping ? "stopping\n" : "ok\n").getBytes(StandardCharsets.US_ASCII));
  }
}
