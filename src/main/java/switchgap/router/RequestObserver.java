package switchgap.router;

import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/** Notified, on the event loop, of how accepted requests and their attempts end. */
public interface RequestObserver {
  /** An accepted request reached its final state; the response is null where it got none. */
  void requestEnded(PendingRequest request, Response response);

  /** An attempt ended; called before what it does to its request. */
  default void attemptEnded(Attempt attempt, AttemptOutcome outcome) {}

  /** A worker reported its load with the end of an attempt. */
  default void workerReported(LoadReport report) {}
}
