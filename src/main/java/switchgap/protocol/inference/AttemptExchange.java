package switchgap.protocol.inference;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.router.Attempt;
import switchgap.router.Response;
import switchgap.router.RouterCore;

/** The exchange of an attempt. Its outcome is posted to the event loop. */
final class AttemptExchange extends InferenceExchange {
  /** Response headers that concern the worker's connection or this router, not the client. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "content-length",
          "transfer-encoding",
          "connection",
          "keep-alive",
          "date",
          "server",
          OrcaLoadReport.HEADER,
          InferenceRequest.RECEIVED_REQUEST_ID_HEADER);

  private final Attempt attempt;
  private final Consumer<Consumer<RouterCore>> eventLoop;

  /**
   * Creates an exchange that is not sent after {@code deadlineNanos} of {@link System#nanoTime}.
   */
  AttemptExchange(
      Attempt attempt,
      HttpConnectionPool pool,
      long deadlineNanos,
      Consumer<Consumer<RouterCore>> eventLoop) {
    super(attempt.worker(), pool, InferenceRequest.infer(attempt), deadlineNanos);
    this.attempt = attempt;
    this.eventLoop = eventLoop;
  }

  @Override
  void onNotSent(AttemptOutcome outcome) {
    eventLoop.accept(core -> core.attemptEnded(attempt, outcome, LoadReport.NONE, null));
  }

  @Override
  void onReply(int status, Map<String, String> headers, byte[] body) {
    String echoedId = headers.get(InferenceRequest.RECEIVED_REQUEST_ID_HEADER);
    if (echoedId != null && !echoedId.equals(attempt.attemptId())) {
      // The response belongs to another request, so whether this one was executed is unknown.
      onConnectionLost();
      return;
    }
    OrcaLoadReport report = OrcaLoadReport.parse(headers);
    AttemptOutcome outcome = outcome(status, report);
    Response response =
        outcome == AttemptOutcome.SUCCEEDED
            ? Response.succeeded(status, forwardedHeaders(headers), body)
            : null;
    eventLoop.accept(core -> core.attemptEnded(attempt, outcome, report.toLoadReport(), response));
  }

  @Override
  void onConnectionLost() {
    eventLoop.accept(
        core -> core.attemptEnded(attempt, AttemptOutcome.CONNECTION_LOST, LoadReport.NONE, null));
  }

  /**
   * Returns NOT_LOADED or REJECTED only if the worker reports that the attempt was not executed;
   * any other error may have followed an execution.
   */
  private static AttemptOutcome outcome(int status, OrcaLoadReport report) {
    if (HttpStatus.isSuccess(status)) {
      return AttemptOutcome.SUCCEEDED;
    }
    if (report.reportsNotExecuted() && HttpStatus.isNotFound(status)) {
      return AttemptOutcome.NOT_LOADED;
    }
    if (report.reportsNotExecuted() && HttpStatus.isOverloaded(status)) {
      return AttemptOutcome.REJECTED;
    }
    return AttemptOutcome.FAILED;
  }

  private static Map<String, String> forwardedHeaders(Map<String, String> headers) {
    Map<String, String> forwarded = new HashMap<>();
    headers.forEach(
        (name, value) -> {
          if (!HOP_BY_HOP_HEADERS.contains(name)) {
            forwarded.put(name, value);
          }
        });
    return forwarded;
  }
}
