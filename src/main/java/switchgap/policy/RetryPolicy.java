package switchgap.policy;

import java.time.Duration;
import switchgap.policy.state.Durations;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.Worker;

/** Rules 1 to 4: whether a request may be attempted, retried or hedged; its final response. */
final class RetryPolicy {
  private final PolicyState state;
  private final SlowStart slowStart;

  RetryPolicy(PolicyState state, SlowStart slowStart) {
    this.state = state;
    this.slowStart = slowStart;
  }

  /** Whether a request may be sent to a worker now. */
  boolean mayAttempt(Request request, Worker worker) {
    boolean hedgeable = state.settings.hedgingAllowed && request.isRepeatable();
    if (request.isClosed()
        || !worker.isReady()
        || request.hasUsedUp(state.settings.maxAttempts)
        || (request.inFlight() > 0 && !hedgeable)
        || !endsInTime(request, Duration.ZERO)) {
      return false;
    }
    return (request.neverExecuted() || isRepeatableAt(request, worker)) && slowStart.admits(worker);
  }

  /** Whether a repeat does no harm at a worker, or is dropped there by its idempotency key. */
  private boolean isRepeatableAt(Request request, Worker worker) {
    Duration window = request.requestClass.deduplicationWindow.minus(state.deadlineMargin);
    boolean dropped = state.isWithin(window, request.firstSentAt()) && request.isInScope(worker);
    return request.isIdempotent() || (request.isRepeatable() && dropped);
  }

  /** Whether a request without an attempt in flight may wait for another one. */
  boolean mayRetry(Request request) {
    return !request.hasUsedUp(state.settings.maxAttempts)
        && (request.neverExecuted() || request.isRepeatable())
        && endsInTime(request, LoadEstimator.usualDuration(request.requestClass));
  }

  /** Whether an attempt of this duration would end before the request's deadline. */
  boolean endsInTime(Request request, Duration duration) {
    return Durations.isShorter(
        state.now().plus(duration).plus(state.deadlineMargin), request.deadline);
  }

  /** Sends the final response at once: a rejection if a repeat does no harm, else a failure. */
  void giveUp(Request request) {
    if (request.isClosed()) {
      return;
    }
    Duration retryAfter = state.settings.maxRetryAfter;
    if (retryAfter != null) { // with jitter, so that not all clients return at once
      retryAfter = Durations.min(retryAfter, state.settings.shortestObjective);
      retryAfter = Durations.scale(retryAfter, 0.5 + state.random.nextDouble() / 2);
    }
    if (request.neverExecuted() || request.isRepeatableAnywhere()) {
      state.dispatcher.reject(request, retryAfter);
    } else {
      state.dispatcher.fail(request);
    }
  }
}
