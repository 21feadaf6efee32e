package switchgap.protocol.invoke;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.net.HttpExchange;
import switchgap.net.KeyedWriters;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;

/** Handles requests whose response is sent on the connection that carried the request. */
final class SynchronousRequestHandler {
  private final RouterContext router;
  private final RequestTracker tracker;
  private final KeyedWriters writers;
  private final String idPrefix;
  private final AtomicLong nextId = new AtomicLong();

  SynchronousRequestHandler(
      RouterContext router, RequestTracker tracker, KeyedWriters writers, String idPrefix) {
    this.router = router;
    this.tracker = tracker;
    this.writers = writers;
    this.idPrefix = idPrefix;
  }

  /** Submits a request that the tracker already counts as pending, on the thread that read it. */
  void submit(HttpExchange exchange, InvokeRequest request, Duration deadline) {
    String clientRequestId = request.clientRequestId();
    PendingRequest pending =
        request.toPendingRequest(
            idPrefix + nextId.getAndIncrement(),
            deadline,
            exchange,
            new ExchangeResponder(exchange, clientRequestId));
    exchange.attach((DisconnectListener) core -> tracker.cancel(core, pending));
    router.post(
        core -> {
          if (!router.gate().offer(pending)) {
            tracker.release();
            ResponseWriter.writeProblem(
                exchange, ProblemDetails.functionLimitReached(), clientRequestId);
          } else if (!exchange.isOpen()) {
            tracker.cancel(core, pending);
          }
        });
  }

  /** Writes the response of one request to its exchange. */
  private final class ExchangeResponder implements ResponseListener {
    private final HttpExchange exchange;
    private final String clientRequestId;

    ExchangeResponder(HttpExchange exchange, String clientRequestId) {
      this.exchange = exchange;
      this.clientRequestId = clientRequestId;
    }

    @Override
    public void responded(PendingRequest request, Response response) {
      tracker.responded(response);
      writers.execute(request.id().hashCode(), () -> write(request, response));
    }

    private void write(PendingRequest request, Response response) {
      if (router.now().compareTo(request.deadline()) < 0) {
        ResponseWriter.writeFinal(
            exchange, response, request.id(), clientRequestId, request.shedBy());
      } else {
        // The process was paused between the response and this write. A response after the
        // deadline must not reach the client, so the connection is closed without one.
        tracker.responseSuppressed();
        exchange.drop();
      }
    }

    @Override
    public void deadlineMissed(PendingRequest request, Response lateResponse) {
      tracker.deadlineMissed();
      exchange.drop();
    }
  }
}
