package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;

/**
 * Checks that no request or load command is sent to a draining worker after the grace period, which
 * starts when routers are notified of the drain. For drains during an outage of the event stream,
 * the check treats routers as notified a fixed time after the start of the outage, even if they
 * have received no event.
 */
final class DrainGraceCheck implements AttemptCheck {
  /** Grace period of the settings plus 50 ms, by which all time limits are extended on sockets. */
  private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

  /** Time from the start of an outage of the event stream until routers are treated as notified. */
  private static final long NOTIFIED_AFTER_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** The same time for an outage in which the connections of the event stream ended. */
  private static final long NOTIFIED_AFTER_BREAK_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final SoakRecords records;
  private final ViolationRecorder violations;

  DrainGraceCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  @Override
  public void check(ReceivedAttempt attempt, ObservedRequest request) {
    long pauseNanos = pauseNanos(attempt.worker(), request.router(), attempt.receivedNanos());
    check(
        attempt.worker(),
        attempt.receivedNanos() - pauseNanos,
        AttemptCheck.describe(attempt, request));
  }

  /** Checks a load command. Its sender is unknown, so pauses of all routers are subtracted. */
  void check(ReceivedLoad load) {
    long pauseNanos = 0;
    for (Outage pause : records.outages(OutageCause.ROUTER_PAUSED)) {
      pauseNanos += pause.overlapNanos(drainingNanos(load.worker()), load.receivedNanos());
    }
    check(
        load.worker(),
        load.receivedNanos() - pauseNanos,
        "load command to worker " + load.worker());
  }

  private void check(String worker, long receivedNanos, String description) {
    if (!records.worker(worker).isDraining()) {
      return;
    }
    long delayNanos = receivedNanos - latestNotificationNanos(drainingNanos(worker));
    if (delayNanos > GRACE_NANOS + CheckTolerances.MEASUREMENT_ERROR_NANOS) {
      violations.record(
          Invariant.NO_SEND_TO_DRAINING_WORKER,
          description
              + " arrived "
              + CheckTolerances.toMillis(delayNanos)
              + " ms after routers were notified that the worker drains");
    }
  }

  private long drainingNanos(String worker) {
    return records.worker(worker).drainingNanos();
  }

  private long pauseNanos(String worker, int router, long untilNanos) {
    return records.outageNanos(
        OutageCause.ROUTER_PAUSED, router, drainingNanos(worker), untilNanos);
  }

  /** Latest time at which routers are notified of an event that was published at a given time. */
  private long latestNotificationNanos(long eventNanos) {
    long afterSilenceNanos =
        latestNotificationNanos(eventNanos, OutageCause.EVENT_STREAM, NOTIFIED_AFTER_SILENCE_NANOS);
    long afterBreakNanos =
        latestNotificationNanos(
            eventNanos, OutageCause.EVENT_STREAM_BROKEN, NOTIFIED_AFTER_BREAK_NANOS);
    return Math.max(afterSilenceNanos, afterBreakNanos);
  }

  private long latestNotificationNanos(
      long eventNanos, OutageCause cause, long notifiedAfterNanos) {
    long toleranceNanos = CheckTolerances.MEASUREMENT_ERROR_NANOS;
    long notifiedNanos = eventNanos;
    for (Outage outage : records.outages(cause)) {
      boolean wasUnavailable =
          outage.startNanos() - toleranceNanos <= eventNanos
              && !outage.endedBefore(eventNanos - toleranceNanos);
      if (wasUnavailable) {
        notifiedNanos = Math.max(notifiedNanos, outage.startNanos() + notifiedAfterNanos);
      }
    }
    return notifiedNanos;
  }
}
