package switchgap.testbed.experiment;

import java.time.Duration;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.RequestArrival;

/** A request that the baseline policy has not released yet, with the state of its attempts. */
final class BaselineRequest {
  private final int requestIndex;
  private final int requestClass;
  private final int function;
  private final Duration deadline;
  private int startedAttempts;
  private int attemptsInFlight;
  private boolean possiblyExecuted;
  private boolean closed;

  BaselineRequest(RequestArrival arrival) {
    this.requestIndex = arrival.request();
    this.requestClass = arrival.requestClass();
    this.function = arrival.function();
    this.deadline = arrival.deadline();
  }

  int requestIndex() {
    return requestIndex;
  }

  int requestClass() {
    return requestClass;
  }

  int function() {
    return function;
  }

  Duration deadline() {
    return deadline;
  }

  int startedAttempts() {
    return startedAttempts;
  }

  boolean hasAttemptInFlight() {
    return attemptsInFlight > 0;
  }

  /** Whether the request has its final response or no longer needs one. */
  boolean isClosed() {
    return closed;
  }

  /** Whether the request is closed and has no attempt in flight. */
  boolean isSettled() {
    return closed && attemptsInFlight == 0;
  }

  /** Whether a worker may have executed an attempt that has ended. */
  boolean isPossiblyExecuted() {
    return possiblyExecuted;
  }

  void attemptStarted() {
    startedAttempts++;
    attemptsInFlight++;
  }

  void attemptEnded(AttemptResult result) {
    attemptsInFlight--;
    possiblyExecuted |= !result.outcome().neverExecuted();
    closed |= result.requestClosed();
  }

  void close() {
    closed = true;
  }
}
