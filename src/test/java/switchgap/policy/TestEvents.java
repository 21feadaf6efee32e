package switchgap.policy;

import static switchgap.policy.PolicyHarness.millis;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.WorkerState;

/** Delivers endpoint lists and ends of load commands to a policy. */
final class TestEvents {
  private TestEvents() {}

  /** Delivers a complete endpoint list of ready workers, numbered from 0. */
  static void list(PolicyEvents events, int workers) {
    events.endpointListStarted(true);
    for (int worker = 0; worker < workers; worker++) {
      list(events, worker, WorkerState.READY, null);
    }
    events.endpointListEnded();
  }

  /** Delivers a complete endpoint list with only worker 0, whose process started at this time. */
  static void listOneStartedAt(PolicyEvents events, Duration startedAt) {
    events.endpointListStarted(true);
    list(events, 0, WorkerState.READY, startedAt);
    events.endpointListEnded();
  }

  /** Delivers a complete endpoint list of ready workers whose processes started at this time. */
  static void listAllStartedAt(PolicyEvents events, int workers, Duration startedAt) {
    events.endpointListStarted(true);
    for (int worker = 0; worker < workers; worker++) {
      list(events, worker, WorkerState.READY, startedAt);
    }
    events.endpointListEnded();
  }

  /** Delivers a change of one worker; {@code startedAt} is null if its process started long ago. */
  static void change(PolicyEvents events, int worker, WorkerState state, Duration startedAt) {
    events.endpointListStarted(false);
    list(events, worker, state, startedAt);
    events.endpointListEnded();
  }

  /** Delivers the entry of one worker. */
  private static void list(PolicyEvents events, int worker, WorkerState state, Duration startedAt) {
    events.endpointListed(endpoint(worker, state, startedAt));
  }

  /** The entry of a ready worker whose process started long ago. */
  static EndpointEntry readyEndpoint(int worker) {
    return endpoint(worker, WorkerState.READY, null);
  }

  /** The entry of a worker, whose zone and cell are its number modulo 2. */
  private static EndpointEntry endpoint(int worker, WorkerState state, Duration startedAt) {
    return new EndpointEntry(worker, 1000 + worker, state, worker % 2, worker % 2, 0, 1, startedAt);
  }

  static void replicaLoaded(PolicyEvents events, int worker, int function, int durationMillis) {
    events.loadCommandEnded(
        new LoadCommandResult(
            worker, function, AttemptOutcome.SUCCEEDED, millis(durationMillis), 1));
  }

  static void loadFailed(PolicyEvents events, int worker, int function, AttemptOutcome outcome) {
    events.loadCommandEnded(new LoadCommandResult(worker, function, outcome, millis(2), 0));
  }
}
