package switchgap.server.platform;

import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.EndpointEvent;
import switchgap.router.PendingRequest;
import switchgap.router.RequestObserver;
import switchgap.router.Response;
import switchgap.router.RouterEvent;
import switchgap.router.RouterEvents;
import switchgap.router.WorkerEntry;

/** Records outcomes of attempts and probes, and reconnects to workers, as router events. */
final class AttemptObserver implements RequestObserver {
  private final RouterEvents events;

  AttemptObserver(RouterEvents events) {
    this.events = events;
  }

  @Override
  public void attemptEnded(Attempt attempt, AttemptOutcome outcome) {
    events.record(new RouterEvent.AttemptEnded(attempt, outcome));
  }

  @Override
  public void probeEnded(WorkerEntry worker, AttemptOutcome outcome) {
    events.record(new EndpointEvent.WorkerProbed(worker.name(), outcome));
  }

  @Override
  public void workerReconnected(WorkerEntry worker) {
    events.record(new EndpointEvent.WorkerReconnected(worker.name()));
  }

  @Override
  public void requestEnded(PendingRequest request, Response response) {}
}
