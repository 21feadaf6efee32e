package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/**
 * Each request that a router read receives a final response in time. Time in which the router was
 * paused or could accept nothing does not count; a request that a killed router had is excused.
 */
final class LostRequestCheck implements RequestCheck {
  /** The platform's requirement: a response that is later by more counts as lost. */
  private static final long MAX_LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final SoakRecords records;
  private final ViolationRecorder violations;

  LostRequestCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  @Override
  public void check(ObservedRequest request) {
    if (request.outcome() == ObservedRequest.Outcome.CANCELLED || wasAtKilledRouter(request)) {
      return;
    }
    String name = "request " + request.id() + " at router " + request.router();
    switch (request.outcome()) {
      case PENDING -> violated(name + " has no answer");
      case CONNECTION_LOST -> checkConnectionLoss(request, name);
      default -> checkLateness(request, name);
    }
  }

  private boolean wasAtKilledRouter(ObservedRequest request) {
    return request.outcome() != ObservedRequest.Outcome.SERVED
        && records.outages(OutageCause.ROUTER_KILLED).stream()
            .anyMatch(kill -> kill.affects(request.router()) && wasOpenDuring(request, kill));
  }

  private static boolean wasOpenDuring(ObservedRequest request, Outage kill) {
    long earliestEnd = kill.startNanos() - CheckTolerances.MEASUREMENT_NANOS;
    boolean endedBefore = request.endedNanos() != 0 && request.endedNanos() < earliestEnd;
    return !endedBefore && !kill.isOverBefore(request.sentNanos());
  }

  private void checkConnectionLoss(ObservedRequest request, String name) {
    if (request.wasResent()) {
      return;
    }
    violated(
        name
            + " was cut off after "
            + CheckTolerances.toMillis(request.endedNanos() - request.sentNanos())
            + " ms"
            + (request.isFirstOnConnection() ? ", the first on its connection" : ""));
  }

  private void checkLateness(ObservedRequest request, String name) {
    long lateness =
        request.endedNanos()
            - request.deadlineNanos()
            - outageNanos(OutageCause.ROUTER_PAUSED, request)
            - outageNanos(OutageCause.ACCEPT_FAILING, request);
    if (lateness > MAX_LATENESS_NANOS + CheckTolerances.MEASUREMENT_NANOS) {
      violated(name + " was answered " + CheckTolerances.toMillis(lateness) + " ms late");
    }
  }

  private long outageNanos(OutageCause cause, ObservedRequest request) {
    return records.outageNanos(cause, request.router(), request.sentNanos(), request.endedNanos());
  }

  private void violated(String description) {
    violations.record(Invariant.FINAL_RESPONSE_IN_TIME, description);
  }
}
