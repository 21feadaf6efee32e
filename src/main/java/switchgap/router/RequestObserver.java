package switchgap.router;

import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/** Notified, on the event loop, of how accepted requests, their attempts and probes end. */
public interface RequestObserver {
  /** An accepted request reached its final state; the response is null where it got none. */
  void requestEnded(PendingRequest request, Response response);

  /** An attempt ended; called before what it does to its request. */
  default void attemptEnded(Attempt attempt, AttemptOutcome outcome) {}

  /** A load probe of a worker ended. */
  default void probeEnded(WorkerEntry worker, AttemptOutcome outcome) {}

  /** A worker that had ended its connections, or refused one, accepted one. */
  default void workerReconnected(WorkerEntry worker) {}

  /** A worker reported its load with the end of an attempt. */
  default void workerReported(LoadReport report) {}
}
