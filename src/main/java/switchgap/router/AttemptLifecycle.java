package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.LoadReport;

/**
 * Starts attempts and ends each exactly once, on a response, a timeout or a cancellation. Confined
 * to the event loop thread.
 */
final class AttemptLifecycle {
  private final CoreContext context;
  private final WorkerTransport transport;
  private final RequestLifecycle requests;

  AttemptLifecycle(CoreContext context, WorkerTransport transport, RequestLifecycle requests) {
    this.context = context;
    this.transport = transport;
    this.requests = requests;
  }

  /** Starts the next attempt of a request. */
  void start(PendingRequest request, WorkerEntry worker, Duration timeout) {
    Attempt attempt = request.addAttempt(worker, context.now());
    attempt.setTimeoutTimer(
        context.timers().schedule(context.now().plus(timeout), () -> timeOut(attempt)));
    if (request.attemptLimit() != null) {
      attempt.setSendLimitTimer(
          context.timers().schedule(request.attemptLimit(), () -> endUnlessSent(attempt)));
    }
    transport.startAttempt(attempt, timeout);
  }

  /**
   * Abandons the exchange and ends the attempt, in the same tick, with the outcome that {@link
   * WorkerTransport#abandon(Attempt)} returns.
   */
  private void timeOut(Attempt attempt) {
    if (!attempt.hasEnded()) {
      ended(attempt, transport.abandon(attempt), LoadReport.NONE, null);
    }
  }

  /** Ends an attempt that is still waiting to be sent although it may not be sent any more. */
  private void endUnlessSent(Attempt attempt) {
    if (!attempt.hasEnded() && transport.withdraw(attempt)) {
      ended(attempt, AttemptOutcome.NOT_SENT, LoadReport.NONE, null);
    }
  }

  /**
   * Cancels an attempt unless it has ended. The policy calls this while it makes decisions and
   * cannot receive events then, so it is notified in the next tick.
   */
  void cancel(Attempt attempt) {
    if (!attempt.hasEnded()) {
      transport.abandon(attempt);
      context
          .timers()
          .schedule(
              context.now(), () -> ended(attempt, AttemptOutcome.CANCELLED, LoadReport.NONE, null));
    }
  }

  /** See {@link RouterCore#attemptEnded}. */
  void ended(Attempt attempt, AttemptOutcome outcome, LoadReport report, Response response) {
    if (attempt.hasEnded()) {
      return;
    }
    attempt.end(outcome);
    context.observer().attemptEnded(attempt, outcome);
    context.timers().cancel(attempt.timeoutTimer());
    context.timers().cancel(attempt.sendLimitTimer());
    context.observer().workerReported(report);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      requests.respond(attempt.request(), response);
    }
    context.policyEvents().attemptEnded(resultOf(attempt, outcome, report));
  }

  private AttemptResult resultOf(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
    PendingRequest request = attempt.request();
    return new AttemptResult(
        request.index(),
        attempt.number(),
        attempt.worker().index(),
        outcome,
        context.now().minus(attempt.sentAt()),
        !request.isPending(),
        report);
  }
}
