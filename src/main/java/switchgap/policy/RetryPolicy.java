package switchgap.policy;

import java.time.Duration;
import switchgap.policy.state.Durations;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.Worker;

/**
 * Decides whether a request may be attempted, retried or hedged, and which final response it gets.
 * Attempts end before the deadline, go only to ready workers, respect idempotency, and are admitted
 * by slow start.
 */
final class RetryPolicy {
  private final PolicyState state;
  private final SlowStart slowStart;

  RetryPolicy(PolicyState state, SlowStart slowStart) {
    this.state = state;
    this.slowStart = slowStart;
  }

  /** Whether an attempt of the request may be sent to the worker now. */
  boolean mayAttempt(Request request, Worker worker) {
    boolean mayHedge = state.settings.hedgingAllowed && request.isRepeatable();
    if (request.isClosed()
        || !worker.isReady()
        || request.hasReachedAttempts(state.settings.maxAttempts)
        || (request.inFlight() > 0 && !mayHedge)
        || !endsInTime(request, Duration.ZERO)) {
      return false;
    }
    return (request.neverExecuted() || isRepeatableAt(request, worker)) && slowStart.admits(worker);
  }

  /**
   * Whether the request may be executed again at a worker: it is idempotent, or the worker drops a
   * repeat by its idempotency key.
   */
  private boolean isRepeatableAt(Request request, Worker worker) {
    return request.isIdempotent()
        || (isStillRepeatable(request) && request.isInDeduplicationScope(worker));
  }

  /** Whether the request may be executed again now, at least at some workers. */
  private boolean isStillRepeatable(Request request) {
    Duration until = request.repeatableUntil(state.minDeadlineMargin);
    return request.isRepeatable() && (until == null || !state.hasPassed(until));
  }

  /** Whether a request without an attempt in flight may be attempted again, now or later. */
  boolean mayRetry(Request request) {
    return !request.hasReachedAttempts(state.settings.maxAttempts)
        && (request.neverExecuted() || isStillRepeatable(request))
        && endsInTime(request, LoadEstimator.medianDuration(request.requestClass));
  }

  /** Whether an attempt of this duration would end in time before the request's deadline. */
  boolean endsInTime(Request request, Duration duration) {
    return Durations.isShorter(
        state.now().plus(duration).plus(state.deadlineMargin()), request.deadline);
  }

  /** Sends the final response: a rejection if the client may safely retry, else a failure. */
  void giveUp(Request request) {
    if (request.isClosed()) {
      return;
    }
    Duration retryAfter = state.settings.maxRetryAfter;
    if (retryAfter != null) {
      // Jitter prevents all clients from retrying at the same time.
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
