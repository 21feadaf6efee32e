package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import switchgap.policy.api.*;
import switchgap.policy.state.*;

/** Judges workers by their own outcomes against their peers', and ejects outliers for a while. */
final class OutlierDetector {
  private static final double MAX_EJECTED_SHARE = 1 / 3.; // of the ready workers
  private static final double ENOUGH_OUTCOMES = 4; // tell of a worker's health; more: halved
  private static final int FORGET_SECONDS = 8; // or whoever meets it seldom knows nothing
  private static final double MAX_FLEET_OUTCOMES = 64; // past it halved
  private static final double PRIOR_OUTCOMES = 10; // one error in ten where nothing is known
  private static final double MIN_ERRORS = 2; // and twice the fleet's share: an outlier
  private static final int MAX_DOUBLINGS = 3; // of the ejection's second: 1, 2, 4, then 8

  private final PolicyState state;

  OutlierDetector(PolicyState state) {
    this.state = state;
  }

  void everySecond() {
    for (Worker worker : state.workers) {
      boolean enough = worker.errors.total() > ENOUGH_OUTCOMES;
      if (enough || state.seconds % FORGET_SECONDS == 0) {
        worker.halveHealth();
      }
    }
    state.fleet.errors.halveAbove(MAX_FLEET_OUTCOMES);
  }

  /** Takes in how an attempt ended; what proves nothing of the worker is left out. */
  void attemptEnded(Request request, Worker worker, AttemptResult result) {
    switch (result.outcome()) {
      case SUCCEEDED -> attemptSucceeded(request, worker);
      case FAILED -> attemptFailed(request, worker);
      case CONNECTION_LOST -> failed(worker, false);
      case CONNECT_FAILED -> failed(worker, true);
      case TIMED_OUT -> { // a hung worker answers nothing; where responses get lost, others of it
        // come
        boolean slow = !isShorter(result.duration(), request.requestClass.latencyObjective);
        boolean silent = isShorter(worker.lastResponse, state.now.minus(result.duration()));
        if (slow && silent) {
          failed(worker, false);
        }
      }
      default -> {}
    }
  }

  /**
   * Of a function never loaded anywhere an error may be the request's own, until it succeeds
   * elsewhere.
   */
  private void attemptFailed(Request request, Worker worker) {
    boolean itsOwn = request.function.everLoaded;
    request.suspectWorker = itsOwn ? request.suspectWorker : worker;
    if (itsOwn) {
      failed(worker, false);
    }
  }

  private void attemptSucceeded(Request request, Worker worker) {
    worker.errors.add(0);
    state.fleet.errors.add(0);
    worker.ejectionCount = worker.onProbation ? 0 : worker.ejectionCount;
    worker.onProbation = false;
    if (request.suspectWorker != null) {
      failed(request.suspectWorker, false);
    }
    request.suspectWorker = null;
  }

  /** A worker erred; {@code surely} where no other cause is possible. */
  void failed(Worker worker, boolean surely) {
    worker.errors.add(1);
    state.fleet.errors.add(1);
    Histogram fleet = state.fleet.errors;
    double fleetShare = (fleet.countFrom(1) + 1) / (fleet.total() + PRIOR_OUTCOMES);
    double expected = Math.max(MIN_ERRORS, 2 * fleetShare * worker.errors.total());
    if (surely || worker.onProbation || worker.errors.countFrom(1) >= expected) {
      eject(worker);
    }
  }

  /** Ejects a worker for a while, longer each time, as long as not too many are ejected already. */
  private void eject(Worker worker) {
    int ejected = 1;
    for (Worker other : state.workers) {
      ejected += other.isReady() && isEjected(other) ? 1 : 0;
    }
    if (isEjected(worker) || ejected > state.readyWorkers * MAX_EJECTED_SHARE) {
      return;
    }
    int doublings = Math.min(MAX_DOUBLINGS, worker.ejectionCount++);
    worker.eject(state.now.plus(SECOND.multipliedBy(1L << doublings)));
  }

  /** Whether a worker gets nothing now: ejected, or back with one attempt that has yet to end. */
  boolean isEjected(Worker worker) {
    return worker.ejectedUntil != null
        && (!state.hasPassed(worker.ejectedUntil) || (worker.onProbation && worker.inFlight > 0));
  }
}
