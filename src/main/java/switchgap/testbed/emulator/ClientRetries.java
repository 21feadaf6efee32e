package switchgap.testbed.emulator;

import java.util.function.Consumer;

/**
 * Sends the attempts of requests, decides on retries, and reports how requests ended. On the
 * scheduler's thread.
 */
final class ClientRetries {
  private static final double STORM_TIMEOUT_SHARE = 0.3;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final long MICROS_PER_MILLI = 1000;
  private final Scheduler scheduler;
  private final ClientTransport transport;
  private final RetryPolicy policy;
  private final ServiceTally tally;
  private Consumer<RequestResult> listener = result -> {};
  private long inFlight;

  ClientRetries(
      Scheduler scheduler, ClientTransport transport, RetryPolicy policy, ServiceTally tally) {
    this.scheduler = scheduler;
    this.transport = transport;
    this.policy = policy;
    this.tally = tally;
  }

  void setListener(Consumer<RequestResult> resultListener) {
    listener = resultListener;
  }

  /** Attempts sent and not ended. */
  long inFlight() {
    return inFlight;
  }

  void attempt(ClientRequest request) {
    request.attemptStarted();
    inFlight++;
    tally.attemptSent(request);
    double timeoutShare =
        request.isRetryStorm()
            ? STORM_TIMEOUT_SHARE
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
      report(request, end, tally.requestSucceeded(request, scheduler.now()));
      return;
    }
    tally.attemptFailed(request, end.outcome());
    if (!mayRetry(request, end.outcome())) {
      report(request, end, 0);
      return;
    }
    scheduler.after(backoff(request, end.retryAfterMillis()), () -> attempt(request));
  }

  private boolean mayRetry(ClientRequest request, ClientOutcome outcome) {
    boolean retryable =
        outcome == ClientOutcome.REJECTED
            || outcome == ClientOutcome.UNREACHABLE
            || (request.profile.retryable() && outcome != ClientOutcome.REFUSED);
    int maxRetries = request.isRetryStorm() ? request.stormRetries : policy.maxRetries();
    return retryable && request.attempts() <= maxRetries;
  }

  /**
   * Pause before the next attempt in microseconds; draws whether a retry-after time is honoured.
   */
  private long backoff(ClientRequest request, long retryAfterMillis) {
    if (request.isRetryStorm()) {
      return 0;
    }
    long pause = policy.backoff() << Math.min(MAX_BACKOFF_DOUBLINGS, request.attempts() - 1);
    if (retryAfterMillis >= 0 && request.random.nextDouble() < policy.honourShare()) {
      return Math.max(pause, retryAfterMillis * MICROS_PER_MILLI);
    }
    return pause;
  }

  private void report(ClientRequest request, AttemptEnd end, double earned) {
    listener.accept(
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
