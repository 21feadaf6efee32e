package switchgap.testbed.emulator;

import java.util.Map;
import switchgap.net.HttpExchange;

/**
 * Serves the inference requests to one process of a model server. Used only on the scheduler's
 * thread.
 */
final class InferenceHandler {
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final int EXECUTED = 1;
  private static final int NOT_EXECUTED = 0;
  private static final int UNKNOWN_REQUEST_CLASS = -1;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_ERROR = 500;
  private static final int STATUS_UNAVAILABLE = 503;
  private final String serverName;
  private final ModelServerContext context;
  private final EmulatedWorker worker;
  private final WorkerFaults faults;
  private final LoadReportHeaders loadReportHeaders;
  private final FaultyResponder responder;

  InferenceHandler(
      String serverName, ModelServerContext context, EmulatedWorker worker, WorkerFaults faults) {
    this.serverName = serverName;
    this.context = context;
    this.worker = worker;
    this.faults = faults;
    this.loadReportHeaders = new LoadReportHeaders(context.reportsUtilization());
    this.responder = new FaultyResponder(context.scheduler(), faults);
  }

  void infer(HttpExchange exchange, long receivedAt, String functionName) {
    FunctionModel function = context.functionByName().apply(functionName);
    Inference inference = new Inference(exchange, function);
    recordArrival(inference, receivedAt, functionName);
    if (faults.hits(WorkerFaults.Kind.CLOSED_AT_REQUEST)) {
      exchange.drop();
    } else if (function == null) {
      exchange.respond(
          STATUS_NOT_FOUND,
          loadReportHeaders.withExecution(worker, LoadReportHeaders.ABSENT, NOT_EXECUTED),
          ModelServerResponses.error("unknown model"));
    } else if (faults.hits(WorkerFaults.Kind.ERROR)) {
      inference.respondFailed(LoadReportHeaders.ABSENT);
    } else if (isDuplicate(inference)) {
      context.record(event("repeat-dropped", inference));
      inference.respondSucceeded(0);
    } else {
      exchange.attach(worker.execute(function, inference));
    }
  }

  private void recordArrival(Inference inference, long receivedAt, String functionName) {
    FunctionModel function = inference.function;
    context.record(
        LogEvent.of(receivedAt, "infer")
            .with("worker", serverName)
            .with("router", inference.router)
            .with("conn", inference.exchange.connectionId())
            .with("run", inference.attemptId)
            .with("call", inference.clientAttemptId)
            .with("function", functionName)
            .with("workload", function == null ? UNKNOWN_REQUEST_CLASS : function.requestClass())
            .with("work", function == null ? 0 : function.work()));
  }

  /** Handles the disconnection of a router before the response to its request was sent. */
  void clientDisconnected(HttpExchange exchange) {
    context.record(
        LogEvent.of(context.scheduler().now(), "left")
            .with("worker", serverName)
            .with("run", attemptId(exchange)));
    if (exchange.attachment() instanceof EmulatedExecution execution) {
      worker.cancel(execution);
    }
  }

  private static String attemptId(HttpExchange exchange) {
    return String.valueOf(exchange.header(REQUEST_ID));
  }

  private boolean isDuplicate(Inference inference) {
    if (!inference.isSubjectToDeduplication()) {
      return false;
    }
    Long lastExecutedAt = context.idempotencyKeys().get(inference.idempotencyKey);
    return lastExecutedAt != null
        && context.scheduler().now() - lastExecutedAt <= inference.function.idempotencyWindow();
  }

  private LogEvent event(String kind, Inference inference) {
    return LogEvent.of(context.scheduler().now(), kind)
        .with("worker", serverName)
        .with("run", inference.attemptId)
        .with("call", inference.clientAttemptId);
  }

  /** An inference request, with the identifiers from its headers and body. */
  private final class Inference implements ExecutionListener {
    private final HttpExchange exchange;
    private final FunctionModel function;
    private final String attemptId;
    private final String clientAttemptId;
    private final String idempotencyKey;
    private final int router;

    Inference(HttpExchange exchange, FunctionModel function) {
      this.exchange = exchange;
      this.function = function;
      this.attemptId = attemptId(exchange);
      this.clientAttemptId = ModelServerResponses.requestId(exchange.body());
      this.idempotencyKey = exchange.header(IDEMPOTENCY_KEY);
      this.router = context.routerOf(exchange);
    }

    boolean isSubjectToDeduplication() {
      return idempotencyKey != null && function.idempotencyWindow() > 0;
    }

    @Override
    public void started() {
      long now = context.scheduler().now();
      context.record(
          LogEvent.of(now, "ran")
              .with("worker", serverName)
              .with("router", router)
              .with("run", attemptId)
              .with("call", clientAttemptId)
              .with("workload", function.requestClass()));
      if (isSubjectToDeduplication()) {
        context.idempotencyKeys().put(idempotencyKey, now);
      }
    }

    @Override
    public void ended(WorkerOutcome outcome, int concurrency) {
      switch (outcome) {
        case SUCCEEDED -> respondSucceeded(concurrency);
        case NOT_LOADED -> respondNotExecuted(STATUS_NOT_FOUND, concurrency, "model is not loaded");
        case NO_CAPACITY -> respondNotExecuted(STATUS_UNAVAILABLE, concurrency, "no room");
        default -> respondFailed(concurrency);
      }
    }

    void respondSucceeded(int concurrency) {
      respond(STATUS_OK, concurrency, EXECUTED, ModelServerResponses.inferenceResult(attemptId));
    }

    void respondFailed(int concurrency) {
      byte[] body = ModelServerResponses.error("failed");
      respond(STATUS_ERROR, concurrency, LoadReportHeaders.ABSENT, body);
    }

    private void respondNotExecuted(int status, int concurrency, String reason) {
      respond(status, concurrency, NOT_EXECUTED, ModelServerResponses.error(reason));
    }

    private void respond(int status, int concurrency, int executed, byte[] body) {
      Map<String, String> responseHeaders =
          loadReportHeaders.withExecution(worker, concurrency, executed);
      responseHeaders.put(REQUEST_ID, attemptId);
      WorkerFaults.Kind fault =
          responder.respond(
              exchange, new FaultyResponder.Response(attemptId, status, responseHeaders, body));
      context.record(
          event("answer", this)
              .with("status", status)
              .with("fault", fault == null ? null : fault.word()));
    }
  }
}
