package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import switchgap.policy.state.*;

/**
 * Rules 1 to 4: whether a request may be attempted, retried or hedged, and the response when given
 * up.
 */
final class RetryPolicy {
  private final PolicyState state;
  private final SlowStart slowStart;

  RetryPolicy(PolicyState state, SlowStart slowStart) {
    this.state = state;
    this.slowStart = slowStart;
  }

  /** Whether this request may be sent to this worker now. */
  boolean mayAttempt(Request request, Worker worker) {
    boolean hedgeable = state.settings.hedgingAllowed && request.isRepeatable();
    if (request.closed
        || !worker.isReady()
        || request.hasUsedUp(state.settings.maxAttempts)
        || (request.inFlight > 0 && !hedgeable)
        || !endsInTime(request, Duration.ZERO)) {
      return false;
    }
    return (request.neverExecuted() || isDeduplicated(request, worker)) && slowStart.admits(worker);
  }

  /** Whether a repeat is harmless at this worker, or would be dropped there. */
  private boolean isDeduplicated(Request request, Worker worker) {
    Duration window = request.requestClass.deduplicationWindow.minus(state.deadlineMargin);
    boolean dropped = state.isWithin(window, request.firstSentAt) && request.isInScope(worker);
    return request.isIdempotent() || (request.isRepeatable() && dropped);
  }

  /** Whether a further attempt is worth looking for, now that none is in flight. */
  boolean mayRetry(Request request) {
    return !request.hasUsedUp(state.settings.maxAttempts)
        && (request.possibleExecutions == 0 || request.isRepeatable())
        && endsInTime(request, LoadEstimator.usualDuration(request.requestClass));
  }

  /** Whether an attempt of this duration would end before the request's deadline. */
  boolean endsInTime(Request request, Duration duration) {
    return isShorter(state.now.plus(duration).plus(state.deadlineMargin), request.deadline);
  }

  /** The one final response, at once; a rejection only where a repeat is harmless. */
  void giveUp(Request request) {
    if (request.closed) {
      return;
    }
    boolean harmless = request.neverExecuted() || request.isRepeatableAnywhere();
    Duration delay = state.settings.maxRetryAfter;
    if (delay != null) { // no longer than the shortest objective, and spread by chance
      delay = min(delay, state.settings.shortestObjective);
      delay = scale(delay, 0.5 + state.random.nextDouble() / 2);
    }
    if (harmless) {
      state.actions.reject(request.id, delay);
    }
    if (!harmless) {
      state.actions.fail(request.id);
    }
    state.close(request);
    state.releaseIfSettled(request);
  }
}
