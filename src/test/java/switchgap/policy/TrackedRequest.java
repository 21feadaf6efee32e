package switchgap.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import switchgap.policy.api.AttemptOutcome;

/** A request and its attempts as the test records them, independently of the policy. */
final class TrackedRequest {
  private final Duration deadline;
  private final List<Integer> workers = new ArrayList<>();
  private final List<AttemptOutcome> outcomes = new ArrayList<>();
  private int inFlight;
  private boolean closed;
  private Duration firstSentAt;

  TrackedRequest(Duration deadline) {
    this.deadline = deadline;
  }

  Duration deadline() {
    return deadline;
  }

  /** Whether the request has its final response or its client has disconnected. */
  boolean isClosed() {
    return closed;
  }

  void close() {
    closed = true;
  }

  int attempts() {
    return workers.size();
  }

  int inFlight() {
    return inFlight;
  }

  /** Whether an attempt may have executed or may still execute. */
  boolean mayHaveExecuted() {
    return inFlight > 0 || outcomes.stream().anyMatch(outcome -> !outcome.neverExecuted());
  }

  /** When the first attempt that may have executed was sent. */
  Duration firstSentAt() {
    return firstSentAt;
  }

  /** The worker of the first attempt that may have executed. */
  int firstWorker() {
    int attempt = 0;
    while (outcomes.get(attempt).neverExecuted()) {
      attempt++;
    }
    return workers.get(attempt);
  }

  void attemptStarted(int worker, Duration now) {
    if (!mayHaveExecuted()) {
      firstSentAt = now;
    }
    workers.add(worker);
    outcomes.add(AttemptOutcome.TIMED_OUT); // placeholder; attemptEnded replaces it
    inFlight++;
  }

  void attemptEnded(int attempt, AttemptOutcome outcome) {
    outcomes.set(attempt, outcome);
    inFlight--;
  }
}
