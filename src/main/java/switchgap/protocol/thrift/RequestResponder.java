package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.Map;
import switchgap.policy.api.RouterSettings;
import switchgap.router.AnswerReason;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterDiagnostics;
import switchgap.router.RouterEvent;

/**
 * Sends the one final answer of each submit and records its reason. Event loop only, but for {@link
 * #rejectUnadmitted}.
 */
final class RequestResponder {
  private static final long MIN_RETRY_AFTER_MILLIS = 1;
  private static final String UNUSABLE_PREFIX = "unusable ";

  private final RouterSettings settings;
  private final InFlightRequests inFlight;
  private final RouterDiagnostics diagnostics;

  /** Whether a connection is closed as soon as nothing is in flight on it; event loop only. */
  private boolean closesIdleConnections;

  RequestResponder(
      RouterSettings settings, InFlightRequests inFlight, RouterDiagnostics diagnostics) {
    this.settings = settings;
    this.inFlight = inFlight;
    this.diagnostics = diagnostics;
  }

  /** Through this listener the core answers the request whose reply goes to the address. */
  ResponseListener listenerFor(ReplyAddress address) {
    return new ResponseSender(address);
  }

  /** Closes each connection with its next answer after which nothing is in flight on it. */
  void closeIdleConnections() {
    closesIdleConnections = true;
  }

  /** Closes a connection that has just been answered on, if that is wanted and it is idle. */
  void closeIfIdle(ClientConnection connection) {
    if (closesIdleConnections && connection.isIdle() && !connection.hasUnsentReplies()) {
      connection.evict(ClientCloseReason.SHUTDOWN);
    }
  }

  /** Rejects a request that never reached the policy, with the configured retry-after. */
  void reject(ReplyAddress address, PendingRequest request, AnswerReason reason, Duration now) {
    recordAnswer(request, reason, now);
    sendRejection(address, configuredRetryAfter());
    closeIfIdle(address.connection());
  }

  /** Fails a request: it may have been executed. */
  void fail(ReplyAddress address, PendingRequest request, AnswerReason reason, Duration now) {
    recordAnswer(request, reason, now);
    address.sendException(DeclaredException.ERROR, Map.of());
  }

  /** Rejects a submit before it is decoded, with the configured retry-after. Any thread. */
  void rejectUnadmitted(ReplyAddress address, AnswerReason reason) {
    recordUnadmittedAnswer(reason, address.connection().id(), address.sequenceId());
    sendRejection(address, configuredRetryAfter());
  }

  /** Rejects a decoded submit that was revoked past its deadline, before it was admitted. */
  void rejectRevokedLate(ReplyAddress address, PendingRequest request) {
    recordUnadmittedAnswer(AnswerReason.REVOKED_LATE, request.id(), address.connection().id());
    sendRejection(address, configuredRetryAfter());
  }

  /** Fails a submit that cannot be used, with the name of the field at fault. */
  void failUnusable(ReplyAddress address, InvalidSubmitException cause) {
    recordUnadmittedAnswer(AnswerReason.UNUSABLE, address.connection().id(), cause.getMessage());
    address.sendException(
        DeclaredException.ERROR, Map.of(WireNames.REASON, UNUSABLE_PREFIX + cause.getMessage()));
    closeIfIdle(address.connection());
  }

  private void recordAnswer(PendingRequest request, AnswerReason reason, Duration now) {
    diagnostics.invariants().beforeAnswer(request, now);
    diagnostics.events().record(new RouterEvent.RequestAnswered(reason, request.id(), now));
  }

  /** Records the answer of a message that has not become a pending request. */
  private void recordUnadmittedAnswer(AnswerReason reason, String subjectId, Object context) {
    diagnostics.events().record(new RouterEvent.RequestAnswered(reason, subjectId, context));
  }

  /** Null if the settings allow none. */
  private Duration configuredRetryAfter() {
    return settings.retryAfterAllowed() ? settings.maxRetryAfter() : null;
  }

  private static void sendRejection(ReplyAddress address, Duration retryAfter) {
    Map<String, String> fields = Map.of();
    if (retryAfter != null) {
      long millis = Math.max(MIN_RETRY_AFTER_MILLIS, retryAfter.toMillis());
      fields = Map.of(WireNames.COOLDOWN, String.valueOf(millis));
    }
    address.sendException(DeclaredException.FULL, fields);
  }

  /** Sends the response of one admitted request to its client. */
  private final class ResponseSender implements ResponseListener {
    private final ReplyAddress address;

    ResponseSender(ReplyAddress address) {
      this.address = address;
    }

    @Override
    public void responded(PendingRequest request, Response response) {
      inFlight.remove(address, request);
      recordAnswer(request, AnswerReason.of(response.kind()), request.deadline());
      switch (response.kind()) {
        case SUCCEEDED -> address.sendResult(response.body());
        case REJECTED -> sendRejection(address, response.retryAfter());
        case FAILED -> address.sendException(DeclaredException.ERROR, Map.of());
        default -> throw new IllegalStateException("response of kind " + response.kind());
      }
      closeIfIdle(address.connection());
    }

    /**
     * Sent all the same: a response up to half a second late only scores nothing, while a missing
     * one is a violation.
     */
    @Override
    public void deadlineMissed(PendingRequest request, Response late) {
      responded(request, late);
    }

    @Override
    public Duration disconnectedAt() {
      Duration revokedAt = address.connection().revokedAt(address.sequenceId());
      return revokedAt == null ? address.connection().closedAt() : revokedAt;
    }

    @Override
    public boolean isDisconnected() {
      ClientConnection connection = address.connection();
      return !connection.isOpen() || connection.isRevoked(address.sequenceId());
    }
  }
}
