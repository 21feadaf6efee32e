package switchgap.protocol.invoke;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Function;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.router.RouterCore;

/** Serves the pages for operators and monitoring: status, service levels, metrics and health. */
final class OperatorHandler {
  private static final String STATUS_PATH = "/v1/status";
  private static final String SERVICE_LEVELS_PATH = "/v1/levels";
  private static final String METRICS_PATH = "/metrics";
  private static final String HEALTH_PATH = "/healthz";
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;

  private final YamlRouterSettings settings;
  private final RouterContext router;
  private final RequestTracker tracker;
  private final ServiceLevelHandler serviceLevelHandler;

  /** Null until {@link #setStatusSource} is called; the status page does not exist until then. */
  private volatile Function<RouterCore, byte[]> statusSource;

  OperatorHandler(YamlRouterSettings settings, RouterContext router, RequestTracker tracker) {
    this.settings = settings;
    this.router = router;
    this.tracker = tracker;
    this.serviceLevelHandler = new ServiceLevelHandler(settings);
  }

  void setStatusSource(Function<RouterCore, byte[]> source) {
    statusSource = source;
  }

  /**
   * Responds if the path is one of the operators' pages.
   *
   * @param stopping whether the router is shutting down, which the health page reports
   * @return false if the path is not an operators' page; no response has been written then
   */
  boolean handle(HttpExchange exchange, boolean stopping) {
    switch (exchange.path()) {
      case STATUS_PATH -> {
        return respondStatus(exchange);
      }
      case SERVICE_LEVELS_PATH ->
          router.post(core -> serviceLevelHandler.handle(exchange, router.gate()));
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
    byte[] page = MetricsWriter.write(settings, tracker, router.gate().controller());
    ResponseWriter.writePage(exchange, MetricsWriter.MEDIA_TYPE, page);
  }

  /** Responds on the thread that read the request, without waiting for the event loop. */
  private static void respondHealth(HttpExchange exchange, boolean stopping) {
    exchange.respond(
        stopping ? STATUS_SERVICE_UNAVAILABLE : ResponseWriter.STATUS_OK,
        Map.of(HeaderNames.CONTENT_TYPE, "text/plain"),
        (stopping ? "stopping\n" : "ok\n").getBytes(StandardCharsets.US_ASCII));
  }
}
