package switchgap.protocol.thrift;

import java.time.Duration;
import switchgap.router.AnswerReason;
import switchgap.router.EventReason;
import switchgap.router.PendingRequest;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;

/**
 * Cancels requests in flight that nobody waits for any more: a revoke, the end of a connection, the
 * shutdown. Event loop only.
 */
final class RequestCancellation {
  /**
   * The client's clock of a request starts at its send, the router's at its read: they are at most
   * this far apart.
   */
  private static final Duration DEADLINE_SLACK = Duration.ofMillis(150);

  private final ClientConnectionTable connections;
  private final InFlightRequests inFlight;
  private final RequestResponder responder;
  private final RouterDiagnostics diagnostics;

  RequestCancellation(
      ClientConnectionTable connections,
      InFlightRequests inFlight,
      RequestResponder responder,
      RouterDiagnostics diagnostics) {
    this.connections = connections;
    this.inFlight = inFlight;
    this.responder = responder;
    this.diagnostics = diagnostics;
  }

  /**
   * Whether a request's answer is still owed although a revoke was read at this time. A client that
   * cancels early is owed none. One whose timeout has fired sends a revoke as well, and is still
   * owed the answer that it did not get.
   */
  static boolean isAnswerOwed(PendingRequest request, Duration revokedAt) {
    return revokedAt.compareTo(request.deadline().minus(DEADLINE_SLACK)) >= 0;
  }

  /**
   * Cancels the request that a revoke names, if it is in flight.
   *
   * @param revokedAt when the revoke was read
   */
  void revoke(RouterCore core, ReplyAddress address, Duration revokedAt) {
    address.connection().revokeHandled(address.sequenceId());
    PendingRequest request = address.connection().requestRemoved(address.sequenceId());
    if (request == null) {
      return;
    }
    abandon(core, request, AbandonReason.REVOKED);
    if (!isAnswerOwed(request, revokedAt)) {
      return;
    }
    if (request.attempts().isEmpty()) {
      responder.reject(address, request, AnswerReason.REVOKED_LATE, core.now());
    } else {
      responder.fail(address, request, AnswerReason.REVOKED_LATE, core.now());
    }
  }

  /** Cancels the requests of a connection that has ended. */
  void connectionClosed(RouterCore core, ClientConnection connection, ClientCloseReason reason) {
    connections.remove(connection);
    int unanswered = connection.requestsInFlight();
    diagnostics
        .invariants()
        .afterClose(
            connection.id(),
            reason.isClientFault(),
            unanswered + connection.queuedMessages(),
            core.now());
    diagnostics.events().record(new RouterEvent.ClientClosed(reason, connection.id(), unanswered));
    if (unanswered > 0) {
      diagnostics
          .log()
          .accept(
              "a client's connection was closed with "
                  + unanswered
                  + " requests in flight: "
                  + reason.description());
    }
    abandonAll(core, connection, reason);
  }

  /** Fails all requests in flight, as the process cannot wait for any of them. */
  void failAll(RouterCore core) {
    for (ClientConnection connection : connections.snapshot()) {
      connection.forEachRequest(
          (sequenceId, request) ->
              responder.fail(
                  new ReplyAddress(connection, sequenceId),
                  request,
                  AnswerReason.SHUTDOWN,
                  core.now()));
      abandonAll(core, connection, AnswerReason.SHUTDOWN);
      responder.closeIfIdle(connection);
    }
  }

  private void abandonAll(RouterCore core, ClientConnection connection, EventReason reason) {
    for (PendingRequest request : connection.requestSnapshot()) {
      abandon(core, request, reason);
    }
    connection.allRequestsRemoved();
  }

  private void abandon(RouterCore core, PendingRequest request, EventReason reason) {
    diagnostics.events().record(new RouterEvent.RequestAbandoned(reason, request.id()));
    inFlight.release(request);
    core.requestCancelled(request);
  }
}
