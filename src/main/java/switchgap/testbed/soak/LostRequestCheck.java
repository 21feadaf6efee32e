package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/**
 * Checks that each request that a router read receives a final response in time. Time during which
 * the router was paused or could accept no connection is subtracted. Cancelled requests are not
 * checked. Requests that were open while their router was killed and restarted are checked only if
 * they were served.
 */
final class LostRequestCheck implements RequestCheck {
  /**
   * The hosting platform treats a response as lost if it exceeds its deadline by more than this.
   */
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
    String subject = "request " + request.id() + " at router " + request.router();
    switch (request.outcome()) {
      case PENDING -> recordViolation(subject + " received no response");
      case CONNECTION_LOST -> checkConnectionLoss(request, subject);
      default -> checkLateness(request, subject);
    }
  }

  private boolean wasAtKilledRouter(ObservedRequest request) {
    return request.outcome() != ObservedRequest.Outcome.SERVED
        && records.outages(OutageCause.ROUTER_KILLED).stream()
            .anyMatch(kill -> kill.affects(request.router()) && wasOpenDuring(request, kill));
  }

  private static boolean wasOpenDuring(ObservedRequest request, Outage kill) {
    long earliestLossNanos = kill.startNanos() - CheckTolerances.MEASUREMENT_ERROR_NANOS;
    boolean endedBeforeKill = request.endedNanos() != 0 && request.endedNanos() < earliestLossNanos;
    return !endedBeforeKill && !kill.endedBefore(request.sentNanos());
  }

  private void checkConnectionLoss(ObservedRequest request, String subject) {
    if (request.wasResent()) {
      return;
    }
    recordViolation(
        subject
            + " lost its connection "
            + CheckTolerances.toMillis(request.endedNanos() - request.sentNanos())
            + " ms after it was sent"
            + (request.isFirstOnConnection() ? "; it was the first request on the connection" : "")
            + describeFailingAccepts(request));
  }

  /** States for how long accepts failed while the request was open; empty if they did not. */
  private String describeFailingAccepts(ObservedRequest request) {
    long failingNanos = outageNanos(OutageCause.ACCEPT_FAILING, request);
    return failingNanos == 0
        ? ""
        : "; accepts failed for " + CheckTolerances.toMillis(failingNanos) + " ms of that time";
  }

  private void checkLateness(ObservedRequest request, String subject) {
    long latenessNanos =
        request.endedNanos()
            - request.deadlineNanos()
            - outageNanos(OutageCause.ROUTER_PAUSED, request)
            - outageNanos(OutageCause.ACCEPT_FAILING, request);
    if (latenessNanos > MAX_LATENESS_NANOS + CheckTolerances.MEASUREMENT_ERROR_NANOS) {
      recordViolation(
          subject
              + " received its response "
              + CheckTolerances.toMillis(latenessNanos)
              + " ms after its deadline, outages not counted");
    }
  }

  private long outageNanos(OutageCause cause, ObservedRequest request) {
    return records.outageNanos(cause, request.router(), request.sentNanos(), request.endedNanos());
  }

  private void recordViolation(String description) {
    violations.record(Invariant.FINAL_RESPONSE_IN_TIME, description);
  }
}
