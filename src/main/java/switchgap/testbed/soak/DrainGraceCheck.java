package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/** Nothing new is sent to a worker once a grace period has passed since it began to drain. */
final class DrainGraceCheck implements AttemptCheck {
  private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** By then routers have the list again after the event stream was cut, silent or moved. */
  private static final long EVENT_STREAM_RECOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(4000);

  private final SoakRecords records;
  private final ViolationRecorder violations;

  DrainGraceCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  @Override
  public void check(ReceivedAttempt attempt, ObservedRequest request) {
    WorkerTimeline worker = records.worker(attempt.worker());
    if (!worker.isDraining()) {
      return;
    }
    long drainingNanos = worker.drainingNanos();
    long delay = attempt.receivedNanos() - drainingNanos;
    long grace =
        GRACE_NANOS
            + CheckTolerances.MEASUREMENT_NANOS
            + records.outageNanos(
                OutageCause.ROUTER_PAUSED,
                request.router(),
                drainingNanos,
                attempt.receivedNanos());
    long recovery = eventStreamWasOut(drainingNanos) ? EVENT_STREAM_RECOVERY_NANOS : 0;
    if (delay > grace + recovery) {
      violations.record(
          Invariant.NO_SEND_TO_DRAINING_WORKER,
          AttemptCheck.describe(attempt, request)
              + " begun "
              + CheckTolerances.toMillis(delay)
              + " ms after it began to drain");
    }
  }

  private boolean eventStreamWasOut(long nanos) {
    long tolerance = CheckTolerances.MEASUREMENT_NANOS;
    return records.outages(OutageCause.EVENT_STREAM).stream()
        .anyMatch(
            outage ->
                outage.startNanos() - tolerance <= nanos
                    && !outage.isOverBefore(nanos - tolerance));
  }
}
