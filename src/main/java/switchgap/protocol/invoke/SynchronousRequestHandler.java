package switchgap.protocol.invoke;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.net.HttpExchange;
import switchgap.net.KeyedWriters;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;

/** Requests whose clients wait for the response on the connection on which they asked. */
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

  /** Submits a request for which the tracker has given a place; from the thread that read it. */
  void submit(HttpExchange exchange, InvokeRequest request, Duration deadline) {
    String clientRequestId = request.clientRequestId();
    PendingRequest pending =
        request.toPendingRequest(
            idPrefix + nextId.getAndIncrement(),
            deadline,
            exchange,
            new WaitingClient(exchange, clientRequestId));
    exchange.attach((DisconnectListener) core -> cancel(core, pending));
    router.post(
        core -> {
          if (!router.gate().offer(pending)) {
            tracker.release();
            ResponseWriter.writeProblem(
                exchange,
                ProblemDetails.notAccepted("no room for a further function"),
                clientRequestId);
          } else if (!exchange.isOpen()) {
            cancel(core, pending);
          }
        });
  }

  private void cancel(RouterCore core, PendingRequest pending) {
    if (pending.state() == PendingRequest.State.PENDING) {
      core.requestCancelled(pending);
      tracker.release();
    }
  }

  /** The client of one request. */
  private final class WaitingClient implements ResponseListener {
    private final HttpExchange exchange;
    private final String clientRequestId;

    WaitingClient(HttpExchange exchange, String clientRequestId) {
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
      } else { // paused between the decision and the write: silence, not a late response
        tracker.responseSuppressed();
        exchange.drop();
      }
    }

    @Override
    public void deadlineMissed(PendingRequest request, Response late) {
      tracker.deadlineMissed();
      exchange.drop();
    }
  }
}
