package switchgap.protocol.thrift;

import java.time.Duration;
import switchgap.router.AnswerReason;
import switchgap.router.PendingRequest;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;

/**
 * Admits submits: decodes them, checks the bounds of their connection and of the router, and offers
 * them to the core. What is not admitted is answered at once. Event loop only.
 */
final class RequestAdmission {
  /**
   * Requests in flight on one connection. The protocol says 32, yet usual clients were seen with
   * more than 200; memory is bounded by the bytes of all requests.
   */
  private static final int MAX_REQUESTS_PER_CONNECTION = 1024;

  private final NameDirectory names;
  private final InFlightRequests inFlight;
  private final RequestResponder responder;
  private final RequestCancellation cancellation;
  private final RouterDiagnostics diagnostics;

  /** Whether the router shuts down and can serve nothing more; event loop only. */
  private boolean rejectsAll;

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

  /** Answers every request from now on with a rejection. */
  void rejectAll() {
    rejectsAll = true;
  }

  /**
   * Offers the submitted request to the core, or answers it.
   *
   * @param receivedAt when the message was read; the request's deadline counts from then
   */
  void submit(RouterCore core, ReplyAddress address, ThriftMessage message, Duration receivedAt) {
    ClientConnection connection = address.connection();
    int sequenceId = address.sequenceId();
    if (connection.isRevoked(sequenceId)) {
      dropRevoked(address, message, receivedAt);
    } else if (connection.hasRequestInFlight(sequenceId)) {
      connection.close(ClientCloseReason.DUPLICATE_SEQUENCE_ID);
    } else if (connection.requestsInFlight() >= MAX_REQUESTS_PER_CONNECTION) {
      responder.rejectUnadmitted(address, AnswerReason.TOO_MANY_OPEN);
    } else {
      decodeAndOffer(core, address, message, receivedAt);
    }
  }

  /**
   * Drops a submit whose revoke is queued behind it; it has an answer only if the revoke came past
   * its deadline.
   */
  private void dropRevoked(ReplyAddress address, ThriftMessage message, Duration receivedAt) {
    try {
      PendingRequest request = decode(address, message, receivedAt);
      Duration revokedAt = address.connection().revokedAt(address.sequenceId());
      if (revokedAt != null && RequestCancellation.isAnswerOwed(request, revokedAt)) {
        responder.rejectRevokedLate(address, request);
      }
    } catch (InvalidSubmitException e) {
      return; // revoked: its client does not wait for the name of the field at fault
    }
  }

  private void decodeAndOffer(
      RouterCore core, ReplyAddress address, ThriftMessage message, Duration receivedAt) {
    try {
      PendingRequest request = decode(address, message, receivedAt);
      diagnostics
          .events()
          .record(new RouterEvent.RequestReceived(request.id(), address.connection().id()));
      ensureIdIsNotInFlight(core, request.id());
      offer(core, address, request);
    } catch (InvalidSubmitException e) {
      responder.failUnusable(address, e);
    }
  }

  private PendingRequest decode(ReplyAddress address, ThriftMessage message, Duration receivedAt)
      throws InvalidSubmitException {
    return SubmitRequestDecoder.decode(message, names, receivedAt, responder.listenerFor(address));
  }

  /**
   * An id is in flight once. If its connection has ended, the client retries the request on a new
   * connection and the event loop has not handled the end of the old one yet: it does so now.
   */
  private void ensureIdIsNotInFlight(RouterCore core, String id) throws InvalidSubmitException {
    ClientConnection owner = inFlight.connectionOf(id);
    if (owner == null) {
      return;
    }
    if (owner.isOpen()) {
      throw new InvalidSubmitException(WireNames.REF);
    }
    cancellation.connectionClosed(core, owner, ClientCloseReason.RETRIED_ON_NEW_CONNECTION);
  }

  private void offer(RouterCore core, ReplyAddress address, PendingRequest request) {
    if (rejectsAll) {
      responder.reject(address, request, AnswerReason.SHUTDOWN, core.now());
      return;
    }
    boolean hasCapacity = inFlight.hasCapacityFor(request);
    inFlight.add(address, request); // before the offer: the core may respond within it
    if (hasCapacity && core.accept(request)) {
      return;
    }
    inFlight.remove(address, request);
    AnswerReason reason = hasCapacity ? AnswerReason.NOT_ACCEPTED : AnswerReason.NO_CAPACITY;
    responder.reject(address, request, reason, core.now());
  }
}
