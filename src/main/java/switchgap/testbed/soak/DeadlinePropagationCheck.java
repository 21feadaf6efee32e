package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** Checks that the timeout passed to a worker is at most the client's remaining timeout. */
final class DeadlinePropagationCheck implements AttemptCheck {
  private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Longest time from reading a request to writing its command, or from a signal to its effect. */
  private static final long MAX_HANDLING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final SoakRecords records;
  private final ViolationRecorder violations;

  DeadlinePropagationCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  @Override
  public void check(ReceivedAttempt attempt, ObservedRequest request) {
    long remainingNanos = request.deadlineNanos() - attempt.receivedNanos();
    long passedTimeoutNanos = attempt.timeoutMillis() * CheckTolerances.NANOS_PER_MILLI;
    long toleranceNanos =
        TOLERANCE_NANOS + CheckTolerances.MEASUREMENT_ERROR_NANOS + unavoidablePauseNanos(request);
    if (request.wasResent() || passedTimeoutNanos - remainingNanos <= toleranceNanos) {
      return;
    }
    long pausedNanos =
        records.outageNanos(
            OutageCause.ROUTER_PAUSED,
            request.router(),
            request.sentNanos(),
            attempt.receivedNanos());
    violations.record(
        Invariant.DEADLINE_PROPAGATION,
        AttemptCheck.describe(attempt, request)
            + " arrived with a timeout of "
            + attempt.timeoutMillis()
            + " ms when its client had "
            + CheckTolerances.toMillis(remainingNanos)
            + " ms left, "
            + CheckTolerances.toMillis(attempt.receivedNanos() - request.sentNanos())
            + " ms after the client sent the request; the router was paused for "
            + CheckTolerances.toMillis(pausedNanos)
            + " ms of that");
  }

  /**
   * Total duration of the pauses that may have occurred between encoding a command and writing it.
   * No router can account for such a pause.
   */
  private long unavoidablePauseNanos(ObservedRequest request) {
    return records.outages(OutageCause.ROUTER_PAUSED).stream()
        .filter(pause -> pause.affects(request.router()))
        .filter(pause -> Math.abs(pause.startNanos() - request.sentNanos()) < MAX_HANDLING_NANOS)
        .mapToLong(Outage::durationNanos)
        .sum();
  }
}
