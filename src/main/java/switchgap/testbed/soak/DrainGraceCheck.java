package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/**
 * Nothing new is sent to a worker once a grace period has passed since routers were notified that
 * it drains. While the event stream is out of reach, they count as notified some seconds after that
 * began, whether or not they have received anything.
 */
final class DrainGraceCheck implements AttemptCheck {
  /** The grace of the settings, and the 50 ms by which every limit is longer on sockets. */
  private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

  private static final long NOTIFIED_AFTER_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long NOTIFIED_AFTER_BREAK_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final SoakRecords records;
  private final ViolationRecorder violations;

  DrainGraceCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  @Override
  public void check(ReceivedAttempt attempt, ObservedRequest request) {
    long pauses = pauseNanos(attempt.worker(), request.router(), attempt.receivedNanos());
    check(
        attempt.worker(),
        attempt.receivedNanos() - pauses,
        AttemptCheck.describe(attempt, request));
  }

  /** Checks a load command; pauses of all routers are excused, as its sender is not known. */
  void check(ReceivedLoad load) {
    long pauses = 0;
    for (Outage pause : records.outages(OutageCause.ROUTER_PAUSED)) {
      pauses += pause.overlapNanos(drainingNanos(load.worker()), load.receivedNanos());
    }
    check(load.worker(), load.receivedNanos() - pauses, "load at worker " + load.worker());
  }

  private void check(String worker, long receivedNanos, String description) {
    if (!records.worker(worker).isDraining()) {
      return;
    }
    long delay = receivedNanos - notifiedNanos(drainingNanos(worker));
    if (delay > GRACE_NANOS + CheckTolerances.MEASUREMENT_NANOS) {
      violations.record(
          Invariant.NO_SEND_TO_DRAINING_WORKER,
          description
              + " begun "
              + CheckTolerances.toMillis(delay)
              + " ms after routers were notified that it drains");
    }
  }

  private long drainingNanos(String worker) {
    return records.worker(worker).drainingNanos();
  }

  private long pauseNanos(String worker, int router, long untilNanos) {
    return records.outageNanos(
        OutageCause.ROUTER_PAUSED, router, drainingNanos(worker), untilNanos);
  }

  /** When routers count as notified at the latest of what the event stream had at a time. */
  private long notifiedNanos(long eventNanos) {
    long afterSilence =
        notifiedNanos(eventNanos, OutageCause.EVENT_STREAM, NOTIFIED_AFTER_SILENCE_NANOS);
    long afterBreak =
        notifiedNanos(eventNanos, OutageCause.EVENT_STREAM_BROKEN, NOTIFIED_AFTER_BREAK_NANOS);
    return Math.max(afterSilence, afterBreak);
  }

  private long notifiedNanos(long eventNanos, OutageCause cause, long notifiedAfterNanos) {
    long tolerance = CheckTolerances.MEASUREMENT_NANOS;
    long notified = eventNanos;
    for (Outage outage : records.outages(cause)) {
      boolean wasOut =
          outage.startNanos() - tolerance <= eventNanos
              && !outage.isOverBefore(eventNanos - tolerance);
      if (wasOut) {
        notified = Math.max(notified, outage.startNanos() + notifiedAfterNanos);
      }
    }
    return notified;
  }
}
