package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.router.AnswerReason;
import switchgap.router.EventReason;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;

/**
 * Offers submitted requests to the router's core and sends their responses. Bounds requests in
 * flight, their bytes, and the requests of one connection. Event loop only.
 */
final class RequestHandler {
  /**
   * Requests in flight on one connection. The protocol says 32, yet usual clients were seen with
   * more than 200; memory is bounded by the bytes of all requests.
   */
  private static final int MAX_REQUESTS_PER_CONNECTION = 1024;

  private static final long MIN_RETRY_AFTER_MILLIS = 1;

  /**
   * A client counts its time from its send, the router from its read: so much apart at the most.
   */
  private static final Duration DEADLINE_SLACK = Duration.ofMillis(150);

  private static final String UNUSABLE_PREFIX = "unusable ";

  private final NameDirectory names;
  private final int maxRequests;
  private final int maxRequestBytes;
  private final ClientConnectionTable connections;
  private final RouterDiagnostics diagnostics;

  /** The connection of each request in flight, by the request's id. */
  private final Map<String, ClientConnection> connectionByRequestId = new HashMap<>();

  private int inFlightBytes;

  RequestHandler(
      NameDirectory names,
      ClientConnectionLimits limits,
      ClientConnectionTable connections,
      RouterDiagnostics diagnostics) {
    this.names = names;
    this.maxRequests = limits.maxRequests();
    this.maxRequestBytes = limits.maxRequestBytes();
    this.connections = connections;
    this.diagnostics = diagnostics;
  }

  /** Requests without their response. */
  int requestsInFlight() {
    return connectionByRequestId.size();
  }

  /** Handles a submit or a revoke that was received at the stated time. */
  void messageReceived(
      RouterCore core, ClientConnection connection, ThriftMessage message, Duration receivedAt) {
    if (!connection.isOpen()) {
      return;
    }
    connection.messageHandledAt(core.now());
    if (message.method().equals(WireNames.REVOKE)) {
      revoke(core, connection, message.firstInteger(), receivedAt);
    } else {
      submit(core, connection, message, receivedAt);
    }
  }

  /** A connection ended: its requests have no client any more. */
  void connectionClosed(RouterCore core, ClientConnection connection, ClientCloseReason reason) {
    connections.remove(connection);
    int unanswered = connection.inFlight.size();
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

  /** Fails all requests in flight, as none of them can be waited for any more. */
  void failAll(RouterCore core) {
    for (ClientConnection connection : connections.snapshot()) {
      connection.inFlight.forEach(
          (sequenceId, request) -> {
            recordAnswer(request, AnswerReason.SHUTDOWN, core.now());
            sendFailed(connection, sequenceId, Map.of());
          });
      abandonAll(core, connection, AnswerReason.SHUTDOWN);
    }
  }

  private void revoke(
      RouterCore core, ClientConnection connection, int sequenceId, Duration revokedAt) {
    connection.revokeHandled(sequenceId);
    PendingRequest request = connection.inFlight.remove(sequenceId);
    if (request == null) {
      return;
    }
    abandon(core, request, AbandonReason.REVOKED);
    if (wasDue(request, revokedAt)) {
      recordAnswer(request, AnswerReason.REVOKED_LATE, core.now());
      if (request.attempts().isEmpty()) {
        sendRejected(connection, sequenceId);
      } else {
        sendFailed(connection, sequenceId, Map.of());
      }
    }
  }

  /**
   * Whether a request's answer was due when its revoke was read. A client that gives up early is
   * owed none; one whose time has run out sends a revoke, too, and the answer that it did not get
   * is still owed: up to half a second late it only earns nothing.
   */
  private static boolean wasDue(PendingRequest request, Duration revokedAt) {
    return revokedAt.compareTo(request.deadline().minus(DEADLINE_SLACK)) >= 0;
  }

  /** A submit whose revoke is queued behind it; nothing goes out for it. */
  private void submitRevoked(
      ClientConnection connection, ThriftMessage message, Duration receivedAt) {
    int sequenceId = message.sequenceId();
    try {
      PendingRequest request =
          SubmitRequestDecoder.decode(
              message, names, receivedAt, new ResponseSender(connection, sequenceId));
      Duration revokedAt = connection.revokedAt(sequenceId);
      if (revokedAt != null && wasDue(request, revokedAt)) {
        recordUnadmittedAnswer(AnswerReason.REVOKED_LATE, request.id(), connection.id());
        sendRejected(connection, sequenceId);
      }
    } catch (InvalidSubmitException e) {
      return; // withdrawn, whatever it was
    }
  }

  private void submit(
      RouterCore core, ClientConnection connection, ThriftMessage message, Duration receivedAt) {
    int sequenceId = message.sequenceId();
    if (connection.isRevoked(sequenceId)) {
      submitRevoked(connection, message, receivedAt);
      return;
    }
    if (connection.inFlight.containsKey(sequenceId)) {
      connection.close(ClientCloseReason.DUPLICATE_SEQUENCE_ID);
      return;
    }
    if (connection.inFlight.size() >= MAX_REQUESTS_PER_CONNECTION) {
      recordUnadmittedAnswer(AnswerReason.TOO_MANY_OPEN, connection.id(), sequenceId);
      sendRejected(connection, sequenceId);
      return;
    }
    try {
      PendingRequest request =
          SubmitRequestDecoder.decode(
              message, names, receivedAt, new ResponseSender(connection, sequenceId));
      diagnostics.events().record(new RouterEvent.RequestReceived(request.id(), connection.id()));
      ensureIdIsUnused(core, request.id());
      offer(core, connection, sequenceId, request);
    } catch (InvalidSubmitException e) {
      recordUnadmittedAnswer(AnswerReason.UNUSABLE, connection.id(), e.getMessage());
      sendFailed(
          connection, sequenceId, Map.of(WireNames.REASON, UNUSABLE_PREFIX + e.getMessage()));
    }
  }

  /**
   * An id may be in flight once. Where its connection has ended the request was sent again on a new
   * one, which came before the old one's end: that end is handled first.
   */
  private void ensureIdIsUnused(RouterCore core, String id) throws InvalidSubmitException {
    ClientConnection owner = connectionByRequestId.get(id);
    if (owner == null) {
      return;
    }
    if (owner.isOpen()) {
      throw new InvalidSubmitException(WireNames.REF);
    }
    connectionClosed(core, owner, ClientCloseReason.SENT_AGAIN);
  }

  private void offer(
      RouterCore core, ClientConnection connection, int sequenceId, PendingRequest request) {
    boolean hasCapacity =
        connectionByRequestId.size() < maxRequests
            && inFlightBytes + request.body().length <= maxRequestBytes;
    // before it is offered: its response may come at once, and ends it again
    connectionByRequestId.put(request.id(), connection);
    inFlightBytes += request.body().length;
    connection.inFlight.put(sequenceId, request);
    if (!hasCapacity || !core.accept(request)) {
      finish(connection, sequenceId, request);
      recordAnswer(
          request, hasCapacity ? AnswerReason.NOT_ACCEPTED : AnswerReason.NO_CAPACITY, core.now());
      sendRejected(connection, sequenceId);
    }
  }

  /** Refuses a request that does not fit into the event loop's queue; any thread. */
  void refuseUnseen(ClientConnection connection, int sequenceId) {
    recordUnadmittedAnswer(AnswerReason.QUEUE_FULL, connection.id(), sequenceId);
    sendRejected(connection, sequenceId);
  }

  /** Rejects a request that the policy has not judged, with the stated time to stay away. */
  private void sendRejected(ClientConnection connection, int sequenceId) {
    boolean hasAdvice = names.settings().retryAfterAllowed();
    sendRejected(connection, sequenceId, hasAdvice ? names.settings().maxRetryAfter() : null);
  }

  private void recordAnswer(PendingRequest request, AnswerReason reason, Duration now) {
    diagnostics.invariants().beforeAnswer(request, now);
    diagnostics.events().record(new RouterEvent.RequestAnswered(reason, request.id(), now));
  }

  /** Records the answer of a message that has not become a pending request. */
  private void recordUnadmittedAnswer(AnswerReason reason, String subjectId, Object context) {
    diagnostics.events().record(new RouterEvent.RequestAnswered(reason, subjectId, context));
  }

  private void finish(ClientConnection connection, int sequenceId, PendingRequest request) {
    connection.inFlight.remove(sequenceId);
    release(request);
  }

  private void abandonAll(RouterCore core, ClientConnection connection, EventReason reason) {
    for (PendingRequest request : List.copyOf(connection.inFlight.values())) {
      abandon(core, request, reason);
    }
    connection.inFlight.clear();
  }

  private void abandon(RouterCore core, PendingRequest request, EventReason reason) {
    diagnostics.events().record(new RouterEvent.RequestAbandoned(reason, request.id()));
    release(request);
    core.requestCancelled(request);
  }

  private void release(PendingRequest request) {
    connectionByRequestId.remove(request.id());
    inFlightBytes -= request.body().length;
  }

  private static void sendRejected(
      ClientConnection connection, int sequenceId, Duration retryAfter) {
    Map<String, String> fields = Map.of();
    if (retryAfter != null) {
      long millis = Math.max(MIN_RETRY_AFTER_MILLIS, retryAfter.toMillis());
      fields = Map.of(WireNames.COOLDOWN, String.valueOf(millis));
    }
    connection.send(
        ThriftResponseEncoder.declaredException(
            WireNames.SUBMIT, sequenceId, DeclaredException.FULL, fields));
  }

  private static void sendFailed(
      ClientConnection connection, int sequenceId, Map<String, String> fields) {
    connection.send(
        ThriftResponseEncoder.declaredException(
            WireNames.SUBMIT, sequenceId, DeclaredException.ERROR, fields));
  }

  /** Sends the response of one request to its client. */
  private final class ResponseSender implements ResponseListener {
    private final ClientConnection connection;
    private final int sequenceId;

    ResponseSender(ClientConnection connection, int sequenceId) {
      this.connection = connection;
      this.sequenceId = sequenceId;
    }

    @Override
    public void responded(PendingRequest request, Response response) {
      finish(connection, sequenceId, request);
      recordAnswer(request, AnswerReason.of(response.kind()), request.deadline());
      switch (response.kind()) {
        case SUCCEEDED ->
            connection.send(
                ThriftResponseEncoder.response(
                    WireNames.SUBMIT, sequenceId, response.body(), true));
        case REJECTED -> sendRejected(connection, sequenceId, response.retryAfter());
        case FAILED -> sendFailed(connection, sequenceId, Map.of());
        default -> throw new IllegalStateException("response of kind " + response.kind());
      }
    }

    /**
     * Sent all the same: within half a second it only earns nothing, while no response is a fault.
     */
    @Override
    public void deadlineMissed(PendingRequest request, Response late) {
      responded(request, late);
    }

    @Override
    public Duration disconnectedAt() {
      Duration revokedAt = connection.revokedAt(sequenceId);
      return revokedAt == null ? connection.closedAt() : revokedAt;
    }

    @Override
    public boolean isDisconnected() {
      return !connection.isOpen() || connection.isRevoked(sequenceId);
    }
  }
}
