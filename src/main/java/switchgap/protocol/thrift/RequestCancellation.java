package switchgap.protocol.thrift;

import java.time.Duration;
import switchgap.router.AnswerReason;
import switchgap.router.EventReason;
import switchgap.router.PendingRequest;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;

/**
 * Cancels requests in flight after a revoke, at the close of their connection, or at the end of the
 * shutdown. Event loop only.
 */
final class RequestCancellation {
  /**
   * Maximum difference between the client's deadline, which counts from the send of a request, and
   * the router's, which counts from its arrival.
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
   * Whether a request has to be answered although a revoke of it was read at the given time. A
   * client also sends a revoke when its timeout expires, and then still expects an answer; a
   * request that is revoked earlier needs none.
   */
  static boolean isAnswerRequired(PendingRequest request, Duration revokedAt) {
    return revokedAt.compareTo(request.deadline().minus(DEADLINE_SLACK)) >= 0;
  }

  /**
   * Cancels the request that a revoke names, if it is in flight.
   *
   * @param revokedAt earliest time at which the revoke may have arrived
   */
  void revoke(RouterCore core, ReplyAddress address, Duration revokedAt) {
    address.connection().revokeHandled(address.sequenceId());
    PendingRequest request = address.connection().requestRemoved(address.sequenceId());
    if (request == null) {
      return;
    }
    abandon(core, request, AbandonReason.REVOKED);
    if (!isAnswerRequired(request, revokedAt)) {
      return;
    }
    if (request.attempts().isEmpty()) {
      responder.reject(address, request, AnswerReason.REVOKED_LATE, core.now());
    } else {
      responder.fail(address, request, AnswerReason.REVOKED_LATE, core.now());
    }
  }

  /** Cancels the requests of a connection that was closed. */
  void connectionClosed(RouterCore core, ClientConnection connection, ClientCloseReason reason) {
    connections.remove(connection);
    int unanswered = connection.requestsInFlight();
    diagnostics
        .invariants()
        .afterClose(
            connection.id(),
            reason.isClientFault(),
            unanswered + connection.messageQueue().submitCount(),
            core.now());
    diagnostics.events().record(new RouterEvent.ClientClosed(reason, connection.id(), unanswered));
    if (unanswered > 0) {
      diagnostics
          .log()
          .accept(
              "client connection closed with "
                  + unanswered
                  + " requests in flight: "
                  + reason.description());
    }
    abandonAll(core, connection, reason);
  }

  /** Fails all requests in flight, as the process is about to be killed. */
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
