package switchgap.protocol.thrift;

import java.time.Duration;
import switchgap.router.AnswerReason;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;

/**
 * Handles clients' messages and the ends of their connections on the router's event loop. A submit
 * passes {@link RequestAdmission}, is listed in {@link InFlightRequests} while the core has it, and
 * is answered by {@link RequestResponder}, unless {@link RequestCancellation} ends it before.
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

  /** Handles a submit or a revoke that was read at the given time. */
  void messageReceived(
      RouterCore core, ClientConnection connection, ThriftMessage message, Duration receivedAt) {
    if (!connection.isOpen()) {
      return;
    }
    connection.messageHandledAt(core.now());
    if (message.method().equals(WireNames.REVOKE)) {
      ReplyAddress revoked = new ReplyAddress(connection, message.firstInteger());
      cancellation.revoke(core, revoked, receivedAt);
    } else {
      ReplyAddress address = new ReplyAddress(connection, message.sequenceId());
      admission.submit(core, address, message, receivedAt);
    }
  }

  /** Rejects a submit that does not fit into the event loop's queue. Any thread. */
  void rejectUnqueued(ClientConnection connection, int sequenceId) {
    responder.rejectUnadmitted(new ReplyAddress(connection, sequenceId), AnswerReason.QUEUE_FULL);
  }

  /** A connection ended: nobody waits for its requests any more. */
  void connectionClosed(RouterCore core, ClientConnection connection, ClientCloseReason reason) {
    cancellation.connectionClosed(core, connection, reason);
  }

  /**
   * Fails all requests in flight, as the process cannot wait for any of them, rejects all that come
   * from now on, and closes each connection with the answer after which nothing is in flight on it.
   */
  void failAll(RouterCore core) {
    admission.rejectAll();
    responder.closeIdleConnections();
    cancellation.failAll(core);
  }

  /** Requests without their response. */
  int requestsInFlight() {
    return inFlight.size();
  }
}
