package switchgap.policy;

import switchgap.policy.state.CandidateSurvey;
import switchgap.policy.state.Function;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Replica;
import switchgap.policy.state.Request;
import switchgap.policy.state.Worker;

/**
 * Selects the worker for a request: the first target replica in hash order that is below its
 * concurrency limit, unless another one is clearly less loaded. If no target replica is available,
 * selects a loaded replica further on in hash order.
 */
final class CandidateSelector {
  /** Load difference in requests up to which replicas are considered equally loaded. */
  private static final double MIN_LOAD_DIFFERENCE = 1;

  /** Cost of another zone, as a multiple of {@link #MIN_LOAD_DIFFERENCE}. */
  private static final double CROSS_ZONE_FACTOR = 1.5;

  /** Number of workers to visit beyond twice the target replica count. */
  private static final int EXTRA_VISITED_WORKERS = 4;

  /** CPU utilization below which no request waits for a core. */
  private static final double BUSY_CPU_UTILIZATION = 0.9;

  /**
   * Maximum number of attempts in flight, including those that wait for a load, as a multiple of
   * the concurrency limit.
   */
  private static final double MAX_OVERCOMMIT = 3;

  private final PolicyState state;
  private final OutlierDetector outliers;
  private final WorkerLeases leases;
  private final LoadEstimator estimator;
  private final RetryPolicy retries;

  CandidateSelector(
      PolicyState state,
      OutlierDetector outliers,
      WorkerLeases leases,
      LoadEstimator estimator,
      RetryPolicy retries) {
    this.state = state;
    this.outliers = outliers;
    this.leases = leases;
    this.estimator = estimator;
    this.retries = retries;
  }

  /**
   * Visits workers in hash order: all target replicas and, if none of them is available, further
   * workers until an available replica is found.
   */
  CandidateSurvey survey(Request request) {
    Function function = request.function;
    CandidateSurvey survey = new CandidateSurvey();
    boolean avoidsFailed = request.failedWorkerCount() < state.readyWorkers();
    int maxVisited = 2 * function.targetReplicas() + EXTRA_VISITED_WORKERS;
    int visited = 0;
    for (Worker worker : state.hashOrder(function)) {
      if (outliers.isEjected(worker)
          || leases.isUnavailable(worker)
          || (avoidsFailed && request.hasFailedAt(worker))) {
        continue;
      }
      if (visited++ < function.targetReplicas()) {
        visitTarget(survey, request, worker);
      } else if (survey.hasAvailableReplica() || visited > maxVisited) {
        break;
      } else {
        visitBeyondTarget(survey, request, worker);
      }
    }
    return survey;
  }

  private void visitTarget(CandidateSurvey survey, Request request, Worker worker) {
    Replica.State replica = state.replicaState(request.function, worker);
    survey.visited(worker, replica);
    boolean isUnknown = replica == Replica.State.UNKNOWN;
    boolean isLoaded = replica == Replica.State.LOADED;
    if (!retries.mayAttempt(request, worker)) {
      return;
    }
    if (!hasCapacity(request, worker)) {
      if (isLoaded || isUnknown) {
        survey.foundSaturated();
      }
    } else if (isLoaded || (isUnknown && maySendToUnknown(request))) {
      double minDifference = MIN_LOAD_DIFFERENCE * state.ownShare;
      survey.foundAvailable(worker, comparableLoad(worker, replica), minDifference);
    } else if (isUnknown || state.settings.loadsOnDemand) {
      survey.foundPossiblyMissing(worker);
    }
  }

  private void visitBeyondTarget(CandidateSurvey survey, Request request, Worker worker) {
    Replica.State replica = state.replicaState(request.function, worker);
    survey.visited(worker, replica);
    boolean hasCapacity = hasCapacity(request, worker);
    if (replica == Replica.State.LOADED && hasCapacity && retries.mayAttempt(request, worker)) {
      survey.foundOverflow(worker);
    } else if (replica != Replica.State.LOADING && hasCapacity && survey.nextToLoad() == null) {
      survey.foundNextToLoad(worker);
    }
  }

  /**
   * Whether to send to a replica in unknown state. With many routers, another router may have
   * loaded it; the request must have an attempt left in case it is missing.
   */
  private boolean maySendToUnknown(Request request) {
    boolean isLastAttempt = request.hasReachedAttempts(state.settings.maxAttempts - 1);
    return state.ownShare < 1 && !state.settings.loadsOnDemand && !isLastAttempt;
  }

  /**
   * The load by which replicas are compared. It has a random part, which grows with the number of
   * routers so that they do not all choose the same replica.
   */
  private double comparableLoad(Worker worker, Replica.State replica) {
    boolean isCrossZone = state.settings.crossZonePrice > 0 && worker.zone() != state.settings.zone;
    double crossZoneCost = isCrossZone ? CROSS_ZONE_FACTOR * MIN_LOAD_DIFFERENCE : 0;
    double unknownReplicaCost = replica == Replica.State.UNKNOWN ? MIN_LOAD_DIFFERENCE : 0;
    // Without a lease the request would wait for a probe.
    double probeCost = leases.maySendTo(worker) ? 0 : MIN_LOAD_DIFFERENCE;
    double randomLoad = state.random.nextDouble() * MIN_LOAD_DIFFERENCE * (1 - state.ownShare);
    return estimator.load(worker) + unknownReplicaCost + probeCost + crossZoneCost + randomLoad;
  }

  private boolean hasCapacity(Request request, Worker worker) {
    double limit = estimator.concurrencyLimit(worker);
    return hasForeignCapacity(request, worker)
        && worker.running() < limit
        && worker.inFlight() < MAX_OVERCOMMIT * limit;
  }

  /**
   * Whether other routers leave capacity for a request. The greater its weight, the less of their
   * load counts against it.
   */
  private boolean hasForeignCapacity(Request request, Worker worker) {
    double countedShare = Math.min(1, request.capacityDraw());
    return state.ownShare == 1
        || worker.report.cpuUtilization() < BUSY_CPU_UTILIZATION
        || estimator.foreignLoad(worker) * worker.latencyRatio() * countedShare
            < estimator.capacity(request.requestClass);
  }
}
