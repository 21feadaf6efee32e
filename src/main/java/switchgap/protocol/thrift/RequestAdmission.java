package switchgap.protocol.thrift;

import java.time.Duration;
import switchgap.router.AnswerReason;
import switchgap.router.PendingRequest;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;

/**
 * Admits submits: decodes them, checks the limits of their connection and of the router, and offers
 * them to the core. A submit that is not admitted is answered immediately. Event loop only.
 */
final class RequestAdmission {
  /**
   * Maximum number of requests in flight on one connection. The protocol specifies 32, but ordinary
   * clients have been observed with more than 200; memory is bounded by the limit on the bytes of
   * all requests.
   */
  private static final int MAX_REQUESTS_PER_CONNECTION = 1024;

  private final NameDirectory names;
  private final InFlightRequests inFlight;
  private final RequestResponder responder;
  private final RequestCancellation cancellation;
  private final RouterDiagnostics diagnostics;

  /** Whether every request is rejected, at the end of the shutdown. Event loop only. */
  private boolean isRejectingAll;

  RequestAdmission(
      NameDirectory names,
      InFlightRequests inFlight,
      RequestResponder responder,
      RequestCancellation cancellation,
      RouterDiagnostics diagnostics) {
    this.names = names;
    this.inFlight = inFlight;
    this.responder = responder;
    this.cancellation = cancellation;
    this.diagnostics = diagnostics;
  }

  /** Rejects every request from now on. */
  void rejectAll() {
    isRejectingAll = true;
  }

  /** Offers the submitted request to the core, or answers it. */
  void submit(RouterCore core, ReplyAddress address, QueuedMessage.Submit submit) {
    ClientConnection connection = address.connection();
    int sequenceId = address.sequenceId();
    try {
      if (connection.isRevoked(sequenceId)) {
        dropRevoked(address, submit);
      } else if (connection.hasRequestInFlight(sequenceId)) {
        connection.close(ClientCloseReason.DUPLICATE_SEQUENCE_ID);
      } else if (hasTooManyInFlight(connection)) {
        responder.rejectUnadmitted(address, AnswerReason.TOO_MANY_OPEN);
      } else {
        decodeAndOffer(core, address, submit);
      }
    } catch (MalformedMessageException e) {
      connection.closeMalformed(e);
    }
  }

  private boolean hasTooManyInFlight(ClientConnection connection) {
    return connection.requestsInFlight() >= MAX_REQUESTS_PER_CONNECTION
        || inFlight.isShareUsedUp(connection);
  }

  /**
   * Drops a submit whose revoke is already queued. The submit is answered only if the revoke
   * arrived past the submit's deadline.
   */
  private void dropRevoked(ReplyAddress address, QueuedMessage.Submit submit)
      throws MalformedMessageException {
    try {
      PendingRequest request = decode(address, submit);
      Duration revokedAt = address.connection().revokedAt(address.sequenceId());
      if (revokedAt != null && RequestCancellation.isAnswerRequired(request, revokedAt)) {
        responder.rejectRevokedLate(address, request);
      }
    } catch (InvalidSubmitException e) {
      return; // the client has revoked the request and expects no error
    }
  }

  private void decodeAndOffer(RouterCore core, ReplyAddress address, QueuedMessage.Submit submit)
      throws MalformedMessageException {
    try {
      PendingRequest request = decode(address, submit);
      diagnostics
          .events()
          .record(new RouterEvent.RequestReceived(request.id(), address.connection().id()));
      ensureIdIsNotInFlight(core, request.id());
      offer(core, address, request);
    } catch (InvalidSubmitException e) {
      responder.failInvalid(address, e);
    }
  }

  private PendingRequest decode(ReplyAddress address, QueuedMessage.Submit submit)
      throws MalformedMessageException, InvalidSubmitException {
    ThriftMessage message = ThriftMessageDecoder.decode(submit.frame());
    return SubmitRequestDecoder.decode(
        message, names, submit.receivedAt(), responder.listenerFor(address));
  }

  /**
   * Ensures that an id is in flight at most once. If the request in flight with this id belongs to
   * a closed connection, the client is retrying it on a new one before the event loop has handled
   * the close; the close is handled now.
   */
  private void ensureIdIsNotInFlight(RouterCore core, String id) throws InvalidSubmitException {
    ClientConnection currentConnection = inFlight.connectionOf(id);
    if (currentConnection == null) {
      return;
    }
    if (currentConnection.isOpen()) {
      throw new InvalidSubmitException(WireNames.REF);
    }
    cancellation.connectionClosed(
        core, currentConnection, ClientCloseReason.RETRIED_ON_NEW_CONNECTION);
  }

  private void offer(RouterCore core, ReplyAddress address, PendingRequest request) {
    if (isRejectingAll) {
      responder.reject(address, request, AnswerReason.SHUTDOWN, core.now());
      return;
    }
    boolean hasCapacity = inFlight.hasCapacityFor(address.connection(), request);
    inFlight.add(address, request); // must precede the offer, in which the core may respond
    if (hasCapacity && core.accept(request)) {
      return;
    }
    inFlight.remove(address, request);
    AnswerReason reason = hasCapacity ? AnswerReason.NOT_ACCEPTED : AnswerReason.NO_CAPACITY;
    responder.reject(address, request, reason, core.now());
  }
}
