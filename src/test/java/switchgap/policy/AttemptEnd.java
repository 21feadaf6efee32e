package switchgap.policy;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.LoadReport;

/**
 * The end of an attempt. By default it is the first attempt of its request, its duration is zero,
 * and the worker reports no concurrency.
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

  /** Sets the number of the attempt, counted from 0 for each request. */
  AttemptEnd withNumber(int attempt) {
    number = attempt;
    return this;
  }

  AttemptEnd withDuration(int millis) {
    durationMillis = millis;
    return this;
  }

  /** Sets the concurrency that the worker reports. */
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
