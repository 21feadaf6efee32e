package switchgap.protocol.invoke;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Function;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.router.RouterCore;

/** What operators and their monitoring read: status, service levels, metrics, health. */
final class OperatorHandler {
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  private final YamlRouterSettings settings;
  private final RouterContext router;
  private final RequestTracker tracker;
  private final ServiceLevelHandler serviceLevels;
  private volatile Function<RouterCore, byte[]> statusSource;

  OperatorHandler(YamlRouterSettings settings, RouterContext router, RequestTracker tracker) {
    this.settings = settings;
    this.router = router;
    this.tracker = tracker;
    this.serviceLevels = new ServiceLevelHandler(settings);
  }

  void setStatusSource(Function<RouterCore, byte[]> source) {
    statusSource = source;
  }

  /** Responds where the path is one of its own, else does nothing and returns false. */
  boolean handle(HttpExchange exchange, boolean stopping) {
    Function<RouterCore, byte[]> status = statusSource;
    if (exchange.path().equals("/v1/status") && status != null) {
      router.post(core -> respond(exchange, ResponseWriter.JSON, status.apply(core)));
    } else if (exchange.path().equals("/v1/levels")) {
      router.post(core -> serviceLevels.handle(exchange, router.gate()));
    } else if (exchange.path().equals("/metrics")) {
      router.post(
          core ->
              respond(
                  exchange,
                  MetricsWriter.MEDIA_TYPE,
                  MetricsWriter.write(settings, tracker, router.gate().admission())));
    } else if (exchange.path().equals("/healthz")) {
      health(exchange, stopping);
    } else {
      return false;
    }
    return true;
  }

  private static void respond(HttpExchange exchange, String mediaType, byte[] body) {
    exchange.respond(STATUS_OK, Map.of(ResponseWriter.CONTENT_TYPE, mediaType), body);
  }

  /** Responds at once, on the thread that read the request. */
  private static void health(HttpExchange exchange, boolean stopping) {
    exchange.respond(
        stopping ? STATUS_UNAVAILABLE : STATUS_OK,
        Map.of(ResponseWriter.CONTENT_TYPE, "text/plain"),
        (stopping ? "stopping\n" : "ok\n").getBytes(StandardCharsets.US_ASCII));
  }
}
