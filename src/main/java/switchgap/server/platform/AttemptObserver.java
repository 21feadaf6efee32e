package switchgap.server.platform;

import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.PendingRequest;
import switchgap.router.RequestObserver;
import switchgap.router.Response;
import switchgap.router.RouterEvent;
import switchgap.router.RouterEvents;

/** Records the outcome of each attempt in the router's events. */
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
  public void requestEnded(PendingRequest request, Response response) {}
}
