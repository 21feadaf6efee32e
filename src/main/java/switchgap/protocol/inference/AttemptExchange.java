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

/** The exchange of an attempt; its end is posted to the event loop. */
final class AttemptExchange extends InferenceExchange {
  /** Headers of the worker's connection or for this router, which the client does not get. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "content-length",
          "transfer-encoding",
          "connection",
          "keep-alive",
          "date",
          "server",
          OrcaLoadReport.HEADER,
          InferenceRequest.REQUEST_ID_HEADER);

  private final Attempt attempt;
  private final Consumer<Consumer<RouterCore>> events;

  /** An exchange that is not sent after {@code deadlineNanos} of System.nanoTime. */
  AttemptExchange(
      Attempt attempt,
      HttpConnectionPool pool,
      long deadlineNanos,
      Consumer<Consumer<RouterCore>> events) {
    super(attempt.worker(), pool, InferenceRequest.infer(attempt), deadlineNanos);
    this.attempt = attempt;
    this.events = events;
  }

  @Override
  void notSent(AttemptOutcome outcome) {
    events.accept(core -> core.attemptEnded(attempt, outcome, LoadReport.NONE, null));
  }

  @Override
  void replied(int status, Map<String, String> headers, byte[] body) {
    String echoedId = headers.get(InferenceRequest.REQUEST_ID_HEADER);
    if (echoedId != null && !echoedId.equals(attempt.attemptId())) {
      lost(); // a response to another request: this one may have been executed
      return;
    }
    OrcaLoadReport report = OrcaLoadReport.parse(headers);
    AttemptOutcome outcome = outcome(status, report);
    Response response =
        outcome == AttemptOutcome.SUCCEEDED
            ? Response.succeeded(status, forwardedHeaders(headers), body)
            : null;
    events.accept(core -> core.attemptEnded(attempt, outcome, report.toLoadReport(), response));
  }

  @Override
  void lost() {
    events.accept(
        core -> core.attemptEnded(attempt, AttemptOutcome.CONNECTION_LOST, LoadReport.NONE, null));
  }

  /** How an attempt with this response ended, and whether that proves that it was not executed. */
  private static AttemptOutcome outcome(int status, OrcaLoadReport report) {
    if (HttpStatus.isSuccess(status)) {
      return AttemptOutcome.SUCCEEDED;
    }
    if (report.provesNotExecuted() && HttpStatus.isNotFound(status)) {
      return AttemptOutcome.NOT_LOADED;
    }
    if (report.provesNotExecuted() && HttpStatus.isOverloaded(status)) {
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
