package switchgap.testbed.emulator;

import java.util.function.Consumer;

/**
 * Sends the attempts of client requests, retries failed ones, and notifies a listener of each
 * request's result. Used only on the scheduler's thread.
 */
final class ClientRetries {
  private static final double RETRY_STORM_TIMEOUT_SHARE = 0.3;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final long MICROS_PER_MILLI = 1000;
  private final Scheduler scheduler;
  private final ClientTransport transport;
  private final ClientRetryPolicy policy;
  private final ServiceTally tally;
  private Consumer<RequestResult> requestListener = result -> {};
  private long inFlight;

  ClientRetries(
      Scheduler scheduler,
      ClientTransport transport,
      ClientRetryPolicy policy,
      ServiceTally tally) {
    this.scheduler = scheduler;
    this.transport = transport;
    this.policy = policy;
    this.tally = tally;
  }

  void setRequestListener(Consumer<RequestResult> listener) {
    requestListener = listener;
  }

  /** Number of attempts that were sent and have not ended. */
  long inFlight() {
    return inFlight;
  }

  void sendAttempt(ClientRequest request) {
    request.attemptStarted();
    inFlight++;
    tally.attemptSent(request);
    double timeoutShare =
        request.isRetryStorm()
            ? RETRY_STORM_TIMEOUT_SHARE
            : policy.minTimeoutShare()
                + (1 - policy.minTimeoutShare()) * request.random.nextDouble();
    long deadline = scheduler.now() + (long) (request.profile.timeout() * timeoutShare);
    transport.send(
        new ClientTransport.ClientAttempt(
            request.id + "." + request.attempts(),
            request.id,
            request.function,
            request.tenant,
            request.router,
            deadline,
            request.profile.idempotent() ? request.id : null),
        end -> attemptEnded(request, end));
  }

  private void attemptEnded(ClientRequest request, AttemptEnd end) {
    inFlight--;
    if (end.isSuccess()) {
      notifyRequestEnded(request, end, tally.requestSucceeded(request, scheduler.now()));
      return;
    }
    tally.attemptFailed(request, end.outcome());
    if (!mayRetry(request, end.outcome())) {
      notifyRequestEnded(request, end, 0);
      return;
    }
    scheduler.after(delayBeforeRetry(request, end.retryAfterMillis()), () -> sendAttempt(request));
  }

  private boolean mayRetry(ClientRequest request, ClientOutcome outcome) {
    boolean retryable =
        outcome == ClientOutcome.REJECTED
            || outcome == ClientOutcome.UNREACHABLE
            || (request.profile.retryable() && outcome != ClientOutcome.REFUSED);
    int maxRetries = request.isRetryStorm() ? request.maxStormRetries : policy.maxRetries();
    return retryable && request.attempts() <= maxRetries;
  }

  /**
   * Returns the delay before the next attempt in microseconds. If the response had a retry-after
   * time, a random draw decides whether the client honours it.
   */
  private long delayBeforeRetry(ClientRequest request, long retryAfterMillis) {
    if (request.isRetryStorm()) {
      return 0;
    }
    long delay = policy.initialBackoff() << Math.min(MAX_BACKOFF_DOUBLINGS, request.attempts() - 1);
    if (retryAfterMillis >= 0 && request.random.nextDouble() < policy.retryAfterHonouredShare()) {
      return Math.max(delay, retryAfterMillis * MICROS_PER_MILLI);
    }
    return delay;
  }

  private void notifyRequestEnded(ClientRequest request, AttemptEnd end, double earned) {
    requestListener.accept(
        new RequestResult(
            request.profile.name(),
            request.tenant,
            request.router,
            request.arrivedAt,
            scheduler.now() - request.arrivedAt,
            request.attempts(),
            end,
            earned));
  }
}
