package switchgap.testbed.experiment;

import java.time.Duration;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.RequestArrival;

/** A request that the baseline policy has not released yet, with what became of its attempts. */
final class BaselineRequest {
  private final int requestIndex;
  private final int requestClass;
  private final int function;
  private final Duration deadline;
  private int attempts;
  private int inFlight;
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

  /** Attempts started so far. */
  int attempts() {
    return attempts;
  }

  boolean hasAttemptInFlight() {
    return inFlight > 0;
  }

  /** Whether it has its final response, or needs none. */
  boolean isClosed() {
    return closed;
  }

  /** Whether nothing more will happen to it. */
  boolean isSettled() {
    return closed && inFlight == 0;
  }

  /** Whether an attempt ended that may have run. */
  boolean isPossiblyExecuted() {
    return possiblyExecuted;
  }

  void attemptStarted() {
    attempts++;
    inFlight++;
  }

  void attemptEnded(AttemptResult result) {
    inFlight--;
    possiblyExecuted |= !result.outcome().neverExecuted();
    closed |= result.requestClosed();
  }

  void close() {
    closed = true;
  }
}
