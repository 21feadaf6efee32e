package switchgap.testbed.emulator;

import java.nio.charset.StandardCharsets;
import switchgap.net.HttpExchange;

/**
 * Serves health probes and the commands of the model repository extension. On the scheduler's
 * thread.
 */
final class RepositoryHandler {
  private final String server;
  private final ModelServerContext context;
  private final EmulatedWorker worker;
  private final LoadReportHeaders headers;

  RepositoryHandler(String server, ModelServerContext context, EmulatedWorker worker) {
    this.server = server;
    this.context = context;
    this.worker = worker;
    this.headers = new LoadReportHeaders(context.reportsUtilization());
  }

  void probe(HttpExchange exchange, long receivedAt) {
    context.record(
        LogEvent.of(receivedAt, "probe")
            .with("worker", server)
            .with("router", context.routerOf(exchange))
            .with("conn", exchange.connectionId()));
    exchange.respond(200, headers.plain(worker), ModelServerResponses.EMPTY);
  }

  void modelReady(HttpExchange exchange, long receivedAt, String function) {
    int replicas = worker.replicas(function);
    context.record(
        LogEvent.of(receivedAt, "asked")
            .with("worker", server)
            .with("router", context.routerOf(exchange))
            .with("function", function));
    exchange.respond(
        replicas > 0 ? 200 : 404,
        headers.withReplicas(worker, replicas),
        ModelServerResponses.EMPTY);
  }

  void load(HttpExchange exchange, long receivedAt, String function) {
    FunctionModel model = context.functions().apply(function);
    int replicas = ModelServerResponses.requestedReplicas(exchange.body());
    context.record(
        LogEvent.of(receivedAt, "load")
            .with("worker", server)
            .with("router", context.routerOf(exchange))
            .with("function", function)
            .with("copies", replicas));
    if (model == null) {
      exchange.respond(
          404, headers.withReplicas(worker, 0), ModelServerResponses.error("unknown model"));
      return;
    }
    worker.load(
        model,
        replicas,
        (outcome, loaded) ->
            exchange.respond(
                status(outcome), headers.withReplicas(worker, loaded), ModelServerResponses.EMPTY));
  }

  private static int status(WorkerOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> 200;
      case NO_CAPACITY -> 503;
      default -> 500;
    };
  }

  void unload(HttpExchange exchange, long receivedAt, String function) {
    context.record(
        LogEvent.of(receivedAt, "unload")
            .with("worker", server)
            .with("router", context.routerOf(exchange))
            .with("function", function));
    worker.unload(function);
    exchange.respond(200, headers.plain(worker), ModelServerResponses.EMPTY);
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
        200, headers.plain(worker), index.append("]").toString().getBytes(StandardCharsets.UTF_8));
  }

  void notFound(HttpExchange exchange) {
    exchange.respond(404, headers.plain(worker), ModelServerResponses.error("no such path"));
  }
}
