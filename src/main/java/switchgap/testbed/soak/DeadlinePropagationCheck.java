package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** The timeout passed to a worker is at most what is left of the client's. */
final class DeadlinePropagationCheck implements AttemptCheck {
  private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** From the read of a request to the write of its command, and from a signal to its effect. */
  private static final long HANDLING_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final SoakRecords records;
  private final ViolationRecorder violations;

  DeadlinePropagationCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  @Override
  public void check(ReceivedAttempt attempt, ObservedRequest request) {
    long left = request.deadlineNanos() - attempt.receivedNanos();
    long passedOn = attempt.timeoutMillis() * CheckTolerances.NANOS_PER_MILLI;
    long slack = SLACK_NANOS + CheckTolerances.MEASUREMENT_NANOS + unavoidablePauseNanos(request);
    if (request.wasResent() || passedOn - left <= slack) {
      return;
    }
    long paused =
        records.outageNanos(
            OutageCause.ROUTER_PAUSED,
            request.router(),
            request.sentNanos(),
            attempt.receivedNanos());
    violations.record(
        Invariant.DEADLINE_PROPAGATION,
        AttemptCheck.describe(attempt, request)
            + " had "
            + attempt.timeoutMillis()
            + " ms, its client "
            + CheckTolerances.toMillis(left)
            + ", sent "
            + CheckTolerances.toMillis(attempt.receivedNanos() - request.sentNanos())
            + " ms before, paused "
            + CheckTolerances.toMillis(paused));
  }

  /** No program can account for a pause between the encoding of a command and its write. */
  private long unavoidablePauseNanos(ObservedRequest request) {
    return records.outages(OutageCause.ROUTER_PAUSED).stream()
        .filter(pause -> pause.affects(request.router()))
        .filter(pause -> Math.abs(pause.startNanos() - request.sentNanos()) < HANDLING_NANOS)
        .mapToLong(Outage::durationNanos)
        .sum();
  }
}
