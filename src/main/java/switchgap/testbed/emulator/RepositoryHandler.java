package switchgap.testbed.emulator;

import java.nio.charset.StandardCharsets;
import switchgap.net.HttpExchange;

/**
 * Serves health probes and the commands of the model repository extension. Used only on the
 * scheduler's thread.
 */
final class RepositoryHandler {
  private final String serverName;
  private final ModelServerContext context;
  private final EmulatedWorker worker;
  private final LoadReportHeaders loadReportHeaders;

  RepositoryHandler(String serverName, ModelServerContext context, EmulatedWorker worker) {
    this.serverName = serverName;
    this.context = context;
    this.worker = worker;
    this.loadReportHeaders = new LoadReportHeaders(context.reportsUtilization());
  }

  void probe(HttpExchange exchange, long receivedAt) {
    context.record(
        LogEvent.of(receivedAt, "probe")
            .with("worker", serverName)
            .with("router", context.routerOf(exchange))
            .with("conn", exchange.connectionId()));
    exchange.respond(200, loadReportHeaders.plain(worker), ModelServerResponses.EMPTY);
  }

  void modelReady(HttpExchange exchange, long receivedAt, String function) {
    int replicas = worker.replicas(function);
    context.record(
        LogEvent.of(receivedAt, "asked")
            .with("worker", serverName)
            .with("router", context.routerOf(exchange))
            .with("function", function));
    exchange.respond(
        replicas > 0 ? 200 : 404,
        loadReportHeaders.withReplicas(worker, replicas),
        ModelServerResponses.EMPTY);
  }

  void load(HttpExchange exchange, long receivedAt, String function) {
    FunctionModel model = context.functionByName().apply(function);
    int replicas = ModelServerResponses.requestedReplicas(exchange.body());
    context.record(
        LogEvent.of(receivedAt, "load")
            .with("worker", serverName)
            .with("router", context.routerOf(exchange))
            .with("function", function)
            .with("copies", replicas));
    if (model == null) {
      exchange.respond(
          404,
          loadReportHeaders.withReplicas(worker, 0),
          ModelServerResponses.error("unknown model"));
      return;
    }
    worker.load(
        model,
        replicas,
        (outcome, loadedReplicas) ->
            exchange.respond(
                statusOf(outcome),
                loadReportHeaders.withReplicas(worker, loadedReplicas),
                ModelServerResponses.EMPTY));
  }

  private static int statusOf(WorkerOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> 200;
      case NO_CAPACITY -> 503;
      default -> 500;
    };
  }

  void unload(HttpExchange exchange, long receivedAt, String function) {
    context.record(
        LogEvent.of(receivedAt, "unload")
            .with("worker", serverName)
            .with("router", context.routerOf(exchange))
            .with("function", function));
    worker.unload(function);
    exchange.respond(200, loadReportHeaders.plain(worker), ModelServerResponses.EMPTY);
  }

  void index(HttpExchange exchange) {
    StringBuilder index = new StringBuilder("[");
    for (String function : worker.loadedReplicas().keySet()) {
      index
          .append(index.length() > 1 ? "," : "")
          .append("{\"name\":\"")
          .append(function)
          .append("\",\"state\":\"READY\",\"reason\":\"\"}");
    }
    exchange.respond(
        200,
        loadReportHeaders.plain(worker),
        index.append("]").toString().getBytes(StandardCharsets.UTF_8));
  }

  void notFound(HttpExchange exchange) {
    exchange.respond(
        404, loadReportHeaders.plain(worker), ModelServerResponses.error("no such path"));
  }
}
