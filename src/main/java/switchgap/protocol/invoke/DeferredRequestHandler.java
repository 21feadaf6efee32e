package switchgap.protocol.invoke;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import switchgap.net.HttpExchange;
import switchgap.net.TimerThread;
import switchgap.router.DeferredResults;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;

/**
 * Handles requests whose responses are stored until their clients poll for them by id. All methods
 * run on the event loop, which owns the results.
 */
final class DeferredRequestHandler {
  private final RouterContext router;
  private final RequestTracker tracker;
  private final DeferredResults results;

  DeferredRequestHandler(RouterContext router, RequestTracker tracker, DeferredResults results) {
    this.router = router;
    this.tracker = tracker;
    this.results = results;
  }

  /** Submits a request that the tracker already counts as pending. */
  void submit(HttpExchange exchange, InvokeRequest request, Duration deadline) {
    results.tick(router.now());
    DeferredResults.Entry entry = results.reserve();
    if (entry == null) {
      reject(exchange, request, ProblemDetails.deferredLimitReached());
      return;
    }
    PendingRequest pending =
        request.toPendingRequest(results.id(entry), deadline, exchange, new ResultRecorder(entry));
    results.accepted(entry, pending);
    if (!router.gate().offer(pending)) {
      results.notAccepted(entry);
      reject(exchange, request, ProblemDetails.functionLimitReached());
      return;
    }
    ResponseWriter.writeAccepted(exchange, pending.id(), request.clientRequestId());
  }

  private void reject(HttpExchange exchange, InvokeRequest request, ProblemDetails problem) {
    tracker.release();
    ResponseWriter.writeProblem(exchange, problem, request.clientRequestId());
  }

  /**
   * Responds with the result as soon as it is available.
   *
   * @param waitSeconds longest wait, after which the response reports that the request is still
   *     pending
   */
  void poll(HttpExchange exchange, String id, int waitSeconds) {
    results.tick(router.now());
    switch (results.status(id)) {
      case UNKNOWN ->
          ResponseWriter.writeProblem(
              exchange,
              new ProblemDetails(
                  ProblemType.UNKNOWN_REQUEST,
                  "no deferred call is called " + RequestHeaders.quoted(id)));
      case GONE ->
          ResponseWriter.writeProblem(
              exchange,
              new ProblemDetails(
                  ProblemType.RESULT_GONE, "the result of " + id + " is kept no longer"));
      case ENDED -> writeResult(exchange, results.find(id));
      default -> await(exchange, id, waitSeconds);
    }
  }

  private void await(HttpExchange exchange, String id, int waitSeconds) {
    DeferredResults.Entry entry = results.find(id);
    Consumer<DeferredResults.Entry> waiter = endedEntry -> writeResult(exchange, endedEntry);
    if (waitSeconds == 0 || !results.await(entry, waiter)) {
      ResponseWriter.writePending(exchange, id);
      return;
    }
    exchange.attach((DisconnectListener) core -> results.stopAwaiting(entry, waiter));
    TimerThread.EXECUTOR.schedule(
        () ->
            router.post(
                core -> {
                  results.stopAwaiting(entry, waiter);
                  ResponseWriter.writePending(exchange, id);
                }),
        waitSeconds,
        TimeUnit.SECONDS);
  }

  /**
   * Writes the response of a request that has ended. Without a response it missed its deadline; it
   * is reported as failed, since it may have been executed.
   */
  private void writeResult(HttpExchange exchange, DeferredResults.Entry entry) {
    Response response = entry.response() == null ? Response.failed() : entry.response();
    PendingRequest request = entry.request();
    ResponseWriter.writeFinal(
        exchange, response, results.id(entry), null, request == null ? null : request.shedBy());
  }

  /** Cancels a request that is pending, or deletes the result of one that has ended. */
  void delete(HttpExchange exchange, String id, RouterCore core) {
    results.tick(router.now());
    DeferredResults.Entry entry = results.find(id);
    if (entry == null) {
      poll(exchange, id, 0);
      return;
    }
    if (!entry.isEnded()) {
      tracker.cancel(core, entry.request());
    }
    results.remove(entry);
    ResponseWriter.writeDeleted(exchange, id);
  }

  /** Counts the outcome of a request and stores its response. */
  private final class ResultRecorder implements ResponseListener {
    private final DeferredResults.Entry entry;

    ResultRecorder(DeferredResults.Entry entry) {
      this.entry = entry;
    }

    @Override
    public void responded(PendingRequest request, Response response) {
      tracker.responded(response);
      entry.responded(request, response);
    }

    @Override
    public void deadlineMissed(PendingRequest request, Response lateResponse) {
      tracker.deadlineMissed();
      entry.deadlineMissed(request, lateResponse);
    }
  }
}
