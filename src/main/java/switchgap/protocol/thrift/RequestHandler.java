package switchgap.protocol.thrift;

import switchgap.router.AnswerReason;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;

/**
 * Handles client messages and closes of client connections on the router's event loop. A submit
 * passes {@link RequestAdmission}, is listed in {@link InFlightRequests} while the core processes
 * it, and is answered by {@link RequestResponder}, unless {@link RequestCancellation} cancels it
 * first.
 */
final class RequestHandler {
  private final InFlightRequests inFlight;
  private final RequestResponder responder;
  private final RequestCancellation cancellation;
  private final RequestAdmission admission;

  RequestHandler(
      NameDirectory names,
      ClientConnectionLimits limits,
      ClientConnectionTable connections,
      RouterDiagnostics diagnostics) {
    inFlight = new InFlightRequests(limits.maxRequests(), limits.maxRequestBytes());
    responder = new RequestResponder(names.settings(), inFlight, diagnostics);
    cancellation = new RequestCancellation(connections, inFlight, responder, diagnostics);
    admission = new RequestAdmission(names, inFlight, responder, cancellation, diagnostics);
  }

  /** Handles a queued message, unless its connection was closed. */
  void messageReceived(RouterCore core, ClientConnection connection, QueuedMessage message) {
    if (!connection.isOpen()) {
      return;
    }
    connection.messageHandledAt(core.now());
    if (message instanceof QueuedMessage.Submit submit) {
      admission.submit(core, new ReplyAddress(connection, submit.sequenceId()), submit);
    } else if (message instanceof QueuedMessage.Revoke revoke) {
      ReplyAddress revoked = new ReplyAddress(connection, revoke.revokedSequenceId());
      cancellation.revoke(core, revoked, revoke.receivedAt());
    }
  }

  /** Rejects a submit that was read while its connection is being evicted. Selector thread. */
  void rejectUnqueued(ClientConnection connection, int sequenceId) {
    responder.rejectUnadmitted(
        new ReplyAddress(connection, sequenceId), AnswerReason.CONNECTION_CLOSING);
  }

  /** Cancels the requests of a connection that was closed. */
  void connectionClosed(RouterCore core, ClientConnection connection, ClientCloseReason reason) {
    cancellation.connectionClosed(core, connection, reason);
  }

  /**
   * Fails all requests in flight, as the process is about to be killed, rejects all later ones, and
   * closes each connection after the reply that leaves it idle.
   */
  void failAll(RouterCore core) {
    admission.rejectAll();
    responder.closeIdleConnections();
    cancellation.failAll(core);
  }

  /** Number of requests that have no response yet. */
  int requestsInFlight() {
    return inFlight.size();
  }
}
