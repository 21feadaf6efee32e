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
 * Sends the single answer to each submit and records its reason. Event loop only, except {@link
 * #rejectUnadmitted}.
 */
final class RequestResponder {
  private static final long MIN_RETRY_AFTER_MILLIS = 1;
  private static final String UNUSABLE_PREFIX = "unusable ";

  private final RouterSettings settings;
  private final InFlightRequests inFlight;
  private final RouterDiagnostics diagnostics;

  /** Whether each connection is closed as soon as it is idle. Event loop only. */
  private boolean isClosingIdleConnections;

  RequestResponder(
      RouterSettings settings, InFlightRequests inFlight, RouterDiagnostics diagnostics) {
    this.settings = settings;
    this.inFlight = inFlight;
    this.diagnostics = diagnostics;
  }

  /**
   * The listener through which the core answers the request whose reply goes to the given address.
   */
  ResponseListener listenerFor(ReplyAddress address) {
    return new ResponseSender(address);
  }

  /** From now on closes each connection after the reply that leaves it idle. */
  void closeIdleConnections() {
    isClosingIdleConnections = true;
  }

  /** Closes the connection if it is idle and {@link #closeIdleConnections} was called. */
  void closeIfIdle(ClientConnection connection) {
    if (isClosingIdleConnections && connection.isIdle() && !connection.hasUnsentReplies()) {
      connection.evict(ClientCloseReason.SHUTDOWN);
    }
  }

  /** Rejects a request of which no attempt was started, with the configured retry-after. */
  void reject(ReplyAddress address, PendingRequest request, AnswerReason reason, Duration now) {
    recordAnswer(request, reason, now);
    sendRejection(address, configuredRetryAfter());
    closeIfIdle(address.connection());
  }

  /** Fails a request that may have been executed. */
  void fail(ReplyAddress address, PendingRequest request, AnswerReason reason, Duration now) {
    recordAnswer(request, reason, now);
    address.sendException(DeclaredException.ERROR, Map.of());
  }

  /**
   * Rejects a submit before it is decoded, with the configured retry-after. Callable on any thread.
   */
  void rejectUnadmitted(ReplyAddress address, AnswerReason reason) {
    recordUnadmittedAnswer(reason, address.connection().id(), address.sequenceId());
    sendRejection(address, configuredRetryAfter());
  }

  /** Rejects a decoded submit that was revoked past its deadline, before it was admitted. */
  void rejectRevokedLate(ReplyAddress address, PendingRequest request) {
    recordUnadmittedAnswer(AnswerReason.REVOKED_LATE, request.id(), address.connection().id());
    sendRejection(address, configuredRetryAfter());
  }

  /** Fails a submit with a missing or invalid field; the reply names the field. */
  void failInvalid(ReplyAddress address, InvalidSubmitException cause) {
    recordUnadmittedAnswer(AnswerReason.UNUSABLE, address.connection().id(), cause.getMessage());
    address.sendException(
        DeclaredException.ERROR, Map.of(WireNames.REASON, UNUSABLE_PREFIX + cause.getMessage()));
    closeIfIdle(address.connection());
  }

  /**
   * Records the answer to a pending request.
   *
   * @param time the time of the answer, or the request's deadline if the core answers it
   */
  private void recordAnswer(PendingRequest request, AnswerReason reason, Duration time) {
    diagnostics.invariants().beforeAnswer(request, time);
    diagnostics.events().record(new RouterEvent.RequestAnswered(reason, request.id(), time));
  }

  /** Records the answer to a message that did not become a pending request. */
  private void recordUnadmittedAnswer(AnswerReason reason, String subjectId, Object context) {
    diagnostics.events().record(new RouterEvent.RequestAnswered(reason, subjectId, context));
  }

  /** The retry-after of rejections, or null if the settings do not allow one. */
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

  /** Sends the response to one admitted request to its client. */
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
     * Sends the late response nevertheless: the platform counts a missing response as a violation,
     * but one that is up to half a second late only as unsuccessful.
     */
    @Override
    public void deadlineMissed(PendingRequest request, Response lateResponse) {
      responded(request, lateResponse);
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
