package switchgap.testbed.emulator;

import java.util.Map;
import switchgap.net.HttpExchange;

/** Serves inference requests of one process of a model server. On the scheduler's thread. */
final class InferenceHandler {
  private static final String REQUEST_ID = "X-Request-Id";
  private static final int EXECUTED = 1;
  private static final int NOT_EXECUTED = 0;
  private final String server;
  private final ModelServerContext context;
  private final EmulatedWorker worker;
  private final WorkerFaults faults;
  private final LoadReportHeaders headers;
  private final FaultyResponder responder;

  InferenceHandler(
      String server, ModelServerContext context, EmulatedWorker worker, WorkerFaults faults) {
    this.server = server;
    this.context = context;
    this.worker = worker;
    this.faults = faults;
    this.headers = new LoadReportHeaders(context.reportsUtilization());
    this.responder = new FaultyResponder(context.scheduler(), faults);
  }

  /** An inference request with the identifiers that its router gave it. */
  private record Inference(
      HttpExchange exchange, String attemptId, String callId, String idempotencyKey, int router) {}

  void infer(HttpExchange exchange, long receivedAt, String function) {
    FunctionModel model = context.functions().apply(function);
    Inference inference =
        new Inference(
            exchange,
            attemptId(exchange),
            ModelServerResponses.requestId(exchange.body()),
            exchange.header("Idempotency-Key"),
            context.routerOf(exchange));
    context
        .recorder()
        .record(
            receivedAt,
            "infer",
            "worker",
            server,
            "router",
            inference.router,
            "conn",
            exchange.connectionId(),
            "run",
            inference.attemptId,
            "call",
            inference.callId,
            "function",
            function,
            "workload",
            model == null ? -1 : model.workload(),
            "work",
            model == null ? 0 : model.work());
    if (faults.hits(WorkerFaults.Kind.CLOSED_AT_REQUEST)) {
      exchange.drop();
    } else if (model == null) {
      exchange.respond(
          404,
          headers.withExecution(worker, LoadReportHeaders.ABSENT, NOT_EXECUTED),
          ModelServerResponses.error("unknown model"));
    } else if (faults.hits(WorkerFaults.Kind.ERROR)) {
      respond(
          inference,
          500,
          LoadReportHeaders.ABSENT,
          LoadReportHeaders.ABSENT,
          ModelServerResponses.error("failed"));
    } else if (isRepeat(inference, model)) {
      context
          .recorder()
          .record(
              context.scheduler().now(),
              "repeat-dropped",
              "worker",
              server,
              "run",
              inference.attemptId,
              "call",
              inference.callId);
      respond(inference, 200, 0, EXECUTED, ModelServerResponses.output(inference.attemptId));
    } else {
      exchange.attach(
          worker.execute(
              model,
              () -> started(inference, model),
              (outcome, concurrency) -> ended(inference, outcome, concurrency)));
    }
  }

  /** Notified that the client of a request closed its connection. */
  void clientLeft(HttpExchange exchange) {
    context
        .recorder()
        .record(context.scheduler().now(), "left", "worker", server, "run", attemptId(exchange));
    if (exchange.attachment() instanceof EmulatedExecution execution) {
      worker.cancel(execution);
    }
  }

  private static String attemptId(HttpExchange exchange) {
    return String.valueOf(exchange.header(REQUEST_ID));
  }

  private boolean isRepeat(Inference inference, FunctionModel model) {
    if (model.idempotencyWindow() <= 0 || inference.idempotencyKey == null) {
      return false;
    }
    Long seenAt = context.idempotencyKeys().get(inference.idempotencyKey);
    return seenAt != null && context.scheduler().now() - seenAt <= model.idempotencyWindow();
  }

  private void started(Inference inference, FunctionModel model) {
    long now = context.scheduler().now();
    context
        .recorder()
        .record(
            now,
            "ran",
            "worker",
            server,
            "router",
            inference.router,
            "run",
            inference.attemptId,
            "call",
            inference.callId,
            "workload",
            model.workload());
    if (inference.idempotencyKey != null && model.idempotencyWindow() > 0) {
      context.idempotencyKeys().put(inference.idempotencyKey, now);
    }
  }

  private void ended(Inference inference, WorkerOutcome outcome, int concurrency) {
    switch (outcome) {
      case SUCCEEDED ->
          respond(
              inference,
              200,
              concurrency,
              EXECUTED,
              ModelServerResponses.output(inference.attemptId));
      case NOT_LOADED ->
          respond(
              inference,
              404,
              concurrency,
              NOT_EXECUTED,
              ModelServerResponses.error("model is not loaded"));
      case NO_CAPACITY ->
          respond(inference, 503, concurrency, NOT_EXECUTED, ModelServerResponses.error("no room"));
      default ->
          respond(
              inference,
              500,
              concurrency,
              LoadReportHeaders.ABSENT,
              ModelServerResponses.error("failed"));
    }
  }

  private void respond(
      Inference inference, int status, int concurrency, int executed, byte[] body) {
    Map<String, String> head = headers.withExecution(worker, concurrency, executed);
    head.put(REQUEST_ID, inference.attemptId);
    WorkerFaults.Kind fault =
        responder.respond(
            inference.exchange,
            new FaultyResponder.Response(inference.attemptId, status, head, body));
    context
        .recorder()
        .record(
            context.scheduler().now(),
            "answer",
            "worker",
            server,
            "run",
            inference.attemptId,
            "call",
            inference.callId,
            "status",
            status,
            "fault",
            fault == null ? null : fault.word());
  }
}
