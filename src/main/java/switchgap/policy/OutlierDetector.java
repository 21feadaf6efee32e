package switchgap.policy;

import static switchgap.policy.state.Durations.SECOND;
import static switchgap.policy.state.Durations.isShorter;

import switchgap.policy.api.AttemptResult;
import switchgap.policy.state.Histogram;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.Worker;

/** Ejects a worker for a while that surely failed, or with more errors than the fleet's rate. */
final class OutlierDetector {
  private static final double MAX_EJECTED_SHARE = 1 / 3.; // of the ready workers
  private static final double ENOUGH_OUTCOMES = 4; // of one worker: above it halved each second
  private static final int HALVING_SECONDS = 8; // fewer outcomes are halved this often
  private static final double MAX_FLEET_OUTCOMES = 64; // above it halved each second
  private static final double PRIOR_OUTCOMES = 10; // one of them an error: the fleet's prior
  private static final double MIN_ERRORS = 2; // an outlier has at least so many
  private static final double ERROR_RATE_FACTOR = 2; // and so many times the fleet's error rate
  private static final int MAX_DOUBLINGS = 3; // of an ejection's second: 1, 2, 4, then 8 s

  private final PolicyState state;

  OutlierDetector(PolicyState state) {
    this.state = state;
  }

  void everySecond() {
    boolean halvesFew = state.seconds() % HALVING_SECONDS == 0;
    for (Worker worker : state.workers) {
      if (halvesFew || worker.errors.total() > ENOUGH_OUTCOMES) {
        worker.halveHealth();
      }
    }
    state.fleet.errors.halveAbove(MAX_FLEET_OUTCOMES);
  }

  /** Records how an attempt ended; outcomes that prove nothing of the worker are not counted. */
  void attemptEnded(Request request, Worker worker, AttemptResult result) {
    switch (result.outcome()) {
      case SUCCEEDED -> attemptSucceeded(request, worker);
      case FAILED -> attemptFailed(request, worker);
      case CONNECTION_LOST -> failed(worker);
      case CONNECT_FAILED -> failedSurely(worker);
      case TIMED_OUT -> attemptTimedOut(request, worker, result);
      default -> {}
    }
  }

  /** A hung worker responds to nothing; if single responses are lost, others arrive meanwhile. */
  private void attemptTimedOut(Request request, Worker worker, AttemptResult result) {
    boolean slow = !isShorter(result.duration(), request.requestClass.latencyObjective);
    if (slow && isShorter(worker.lastResponse(), state.now().minus(result.duration()))) {
      failed(worker);
    }
  }

  /** While a function was never loaded, an error may be the request's own fault. */
  private void attemptFailed(Request request, Worker worker) {
    if (request.function.everLoaded()) {
      failed(worker);
    } else {
      request.suspect(worker);
    }
  }

  private void attemptSucceeded(Request request, Worker worker) {
    worker.attemptSucceeded();
    state.fleet.errors.add(0);
    Worker suspect = request.takeSuspect();
    if (suspect != null) { // the request is sound, so the worker was at fault
      failed(suspect);
    }
  }

  /** Counts an error that may have another cause; ejects the worker if it is an outlier by now. */
  private void failed(Worker worker) {
    countError(worker);
    Histogram fleet = state.fleet.errors;
    double fleetRate = (fleet.countFrom(1) + 1) / (fleet.total() + PRIOR_OUTCOMES);
    double allowed = Math.max(MIN_ERRORS, ERROR_RATE_FACTOR * fleetRate * worker.errors.total());
    if (worker.ejection.isOnProbation() || worker.errors.countFrom(1) >= allowed) {
      eject(worker);
    }
  }

  /** Counts an error that has no other cause than the worker, and ejects it. */
  void failedSurely(Worker worker) {
    countError(worker);
    eject(worker);
  }

  private void countError(Worker worker) {
    worker.errors.add(1);
    state.fleet.errors.add(1);
  }

  /** Ejects a worker, longer each time, unless too many are ejected already. */
  private void eject(Worker worker) {
    int ejected = 1;
    for (Worker other : state.workers) {
      ejected += other.isReady() && isEjected(other) ? 1 : 0;
    }
    if (isEjected(worker) || ejected > state.readyWorkers() * MAX_EJECTED_SHARE) {
      return;
    }
    int doublings = Math.min(MAX_DOUBLINGS, worker.ejection.count());
    worker.eject(state.now().plus(SECOND.multipliedBy(1L << doublings)));
  }

  /** Whether a worker gets nothing now: ejected, or on probation with an attempt in flight. */
  boolean isEjected(Worker worker) {
    return worker.ejection.until() != null
        && (!state.hasPassed(worker.ejection.until())
            || (worker.ejection.isOnProbation() && worker.inFlight() > 0));
  }
}
