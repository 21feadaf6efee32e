package switchgap.policy;

import static switchgap.policy.state.Durations.SECOND;
import static switchgap.policy.state.Durations.isShorter;

import switchgap.policy.api.AttemptResult;
import switchgap.policy.state.Histogram;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.Worker;

/**
 * Ejects workers temporarily: after an error that only the worker can have caused, or when its
 * error rate is well above that of the fleet.
 */
final class OutlierDetector {
  /** Maximum number of ejected workers, as a share of the ready workers. */
  private static final double MAX_EJECTED_SHARE = 1 / 3.;

  /** Number of outcomes above which the counts of a worker are halved each second. */
  private static final double MAX_WORKER_OUTCOMES = 4;

  /** Interval at which the counts of workers with fewer outcomes are halved. */
  private static final int SLOW_HALVING_SECONDS = 8;

  /** Number of outcomes above which the counts of the fleet are halved each second. */
  private static final double MAX_FLEET_OUTCOMES = 64;

  /** Outcomes added to the fleet's counts as a prior; one of them is an error. */
  private static final double PRIOR_OUTCOMES = 10;

  /** Minimum number of errors of an outlier. */
  private static final double MIN_ERRORS = 2;

  /** Minimum error rate of an outlier, as a multiple of the fleet's error rate. */
  private static final double ERROR_RATE_FACTOR = 2;

  /** Successive ejections last 1, 2, 4 and then always 8 seconds. */
  private static final int MAX_DOUBLINGS = 3;

  private final PolicyState state;

  OutlierDetector(PolicyState state) {
    this.state = state;
  }

  /** Halves the counts of outcomes so that old errors fade. */
  void decayOutcomeCounts() {
    boolean halvesAll = state.seconds() % SLOW_HALVING_SECONDS == 0;
    for (Worker worker : state.workers) {
      if (halvesAll || worker.errors.total() > MAX_WORKER_OUTCOMES) {
        worker.halveHealthCounts();
      }
    }
    state.fleet.errors.halveAbove(MAX_FLEET_OUTCOMES);
  }

  /** Records the outcome of an attempt, unless it says nothing about the worker's health. */
  void attemptEnded(Request request, Worker worker, AttemptResult result) {
    switch (result.outcome()) {
      case SUCCEEDED -> attemptSucceeded(request, worker);
      case FAILED -> attemptFailed(request, worker);
      case CONNECTION_LOST -> recordPossibleFault(worker);
      case CONNECT_FAILED -> recordFault(worker);
      case TIMED_OUT -> attemptTimedOut(request, worker, result);
      default -> {}
    }
  }

  /**
   * Counts a timeout as an error only if the attempt lasted at least the latency objective and the
   * worker sent no other response during it: a hung worker responds to nothing, whereas other
   * responses still arrive if single ones are lost.
   */
  private void attemptTimedOut(Request request, Worker worker, AttemptResult result) {
    boolean exceedsObjective = !isShorter(result.duration(), request.requestClass.latencyObjective);
    if (exceedsObjective
        && isShorter(worker.lastResponse(), state.now().minus(result.duration()))) {
      recordPossibleFault(worker);
    }
  }

  /** Does not count an error of a function that never loaded: the request may be at fault. */
  private void attemptFailed(Request request, Worker worker) {
    if (request.function.everLoaded()) {
      recordPossibleFault(worker);
    } else {
      request.recordSuspect(worker);
    }
  }

  private void attemptSucceeded(Request request, Worker worker) {
    worker.attemptSucceeded();
    state.fleet.errors.add(0);
    Worker suspect = request.takeSuspect();
    if (suspect != null) {
      // The request succeeded elsewhere, so the earlier error was the fault of that worker.
      recordPossibleFault(suspect);
    }
  }

  /** Counts an error that may have another cause, and ejects the worker if it is an outlier. */
  private void recordPossibleFault(Worker worker) {
    countError(worker);
    Histogram fleetErrors = state.fleet.errors;
    double fleetRate = (fleetErrors.countFrom(1) + 1) / (fleetErrors.total() + PRIOR_OUTCOMES);
    double minErrors = Math.max(MIN_ERRORS, ERROR_RATE_FACTOR * fleetRate * worker.errors.total());
    if (worker.ejection.isOnProbation() || worker.errors.countFrom(1) >= minErrors) {
      eject(worker);
    }
  }

  /** Counts an error that only the worker can have caused, and ejects the worker. */
  void recordFault(Worker worker) {
    countError(worker);
    eject(worker);
  }

  private void countError(Worker worker) {
    worker.errors.add(1);
    state.fleet.errors.add(1);
  }

  /** Ejects a worker, for longer each time, unless too many workers are ejected already. */
  private void eject(Worker worker) {
    int ejectedWorkers = 1;
    for (Worker other : state.workers) {
      ejectedWorkers += other.isReady() && isEjected(other) ? 1 : 0;
    }
    if (isEjected(worker) || ejectedWorkers > state.readyWorkers() * MAX_EJECTED_SHARE) {
      return;
    }
    int doublings = Math.min(MAX_DOUBLINGS, worker.ejection.count());
    worker.eject(state.now().plus(SECOND.multipliedBy(1L << doublings)));
  }

  /**
   * Whether to send nothing to a worker: it is ejected, or it is on probation and has an attempt in
   * flight.
   */
  boolean isEjected(Worker worker) {
    return worker.ejection.until() != null
        && (!state.hasPassed(worker.ejection.until())
            || (worker.ejection.isOnProbation() && worker.inFlight() > 0));
  }
}
