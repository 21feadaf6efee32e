package switchgap.policy;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.LoadReport;

/**
 * The end of an attempt, by default of a request's first attempt, at once and without a reported
 * concurrency.
 */
final class AttemptEnd {
  private final int request;
  private final int worker;
  private final AttemptOutcome outcome;
  private int number;
  private int durationMillis;
  private int concurrency = -1;

  private AttemptEnd(int request, int worker, AttemptOutcome outcome) {
    this.request = request;
    this.worker = worker;
    this.outcome = outcome;
  }

  static AttemptEnd ended(int request, int worker, AttemptOutcome outcome) {
    return new AttemptEnd(request, worker, outcome);
  }

  static AttemptEnd succeeded(int request, int worker) {
    return ended(request, worker, AttemptOutcome.SUCCEEDED);
  }

  static AttemptEnd failed(int request, int worker) {
    return ended(request, worker, AttemptOutcome.FAILED);
  }

  static AttemptEnd rejected(int request, int worker) {
    return ended(request, worker, AttemptOutcome.REJECTED);
  }

  static AttemptEnd notLoaded(int request, int worker) {
    return ended(request, worker, AttemptOutcome.NOT_LOADED);
  }

  static AttemptEnd timedOut(int request, int worker) {
    return ended(request, worker, AttemptOutcome.TIMED_OUT);
  }

  /** The attempt's number, from 0 for each request. */
  AttemptEnd number(int attempt) {
    number = attempt;
    return this;
  }

  /** The attempt's duration. */
  AttemptEnd after(int millis) {
    durationMillis = millis;
    return this;
  }

  /** The concurrency that the worker reported. */
  AttemptEnd withConcurrency(int reported) {
    concurrency = reported;
    return this;
  }

  AttemptResult result() {
    return new AttemptResult(
        request,
        number,
        worker,
        outcome,
        Duration.ofMillis(durationMillis),
        outcome == AttemptOutcome.SUCCEEDED,
        LoadReport.ofConcurrency(concurrency));
  }
}
