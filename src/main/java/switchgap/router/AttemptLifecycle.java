package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.LoadReport;

/**
 * Attempts from their start to their one end: by a response, the timeout or a cancellation. Belongs
 * to the event loop.
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
    attempt.timeoutScheduled(
        context.timers().schedule(context.now().plus(timeout), () -> timeOut(attempt)));
    transport.startAttempt(attempt, timeout);
  }

  /**
   * Asks what the abandoned exchange proves and ends the attempt in one step: see {@link
   * WorkerTransport#abandon(Attempt)}.
   */
  private void timeOut(Attempt attempt) {
    if (!attempt.hasEnded()) {
      ended(attempt, transport.abandon(attempt), LoadReport.NONE, null);
    }
  }

  /**
   * Cancels an attempt, unless it has ended. The policy, which is deciding, is notified with the
   * next events.
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
    context.timers().cancel(attempt.timeout());
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
