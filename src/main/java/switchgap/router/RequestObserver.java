package switchgap.router;

import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/**
 * Receives the outcomes of accepted requests, attempts and load probes. Called on the event loop
 * thread.
 */
public interface RequestObserver {
  /** An accepted request reached its final state; {@code response} is null if it got none. */
  void requestEnded(PendingRequest request, Response response);

  /** An attempt ended. Called before the state of its request changes. */
  default void attemptEnded(Attempt attempt, AttemptOutcome outcome) {}

  /** A load probe of a worker ended. */
  default void probeEnded(WorkerEntry worker, AttemptOutcome outcome) {}

  /** A worker accepted a connection after it had closed all its connections or refused one. */
  default void workerReconnected(WorkerEntry worker) {}

  /** An attempt ended with this load report; {@link LoadReport#NONE} if the worker sent none. */
  default void workerReported(LoadReport report) {}
}
