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
  private static final double OVERFLOW_LOAD = 1;

  /** Cost of another zone, as a multiple of {@link #OVERFLOW_LOAD}. */
  private static final double CROSS_ZONE_LOAD = 1.5;

  /** Number of workers to visit beyond twice the target replica count. */
  private static final int OVERFLOW_WORKERS = 4;

  /** CPU utilization below which no request waits for a core. */
  private static final double BUSY_CPU = 0.9;

  /** Limit of attempts in flight, including those that wait for a load, in concurrency limits. */
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
    int maxVisited = 2 * function.targetReplicas() + OVERFLOW_WORKERS;
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
        visitPastTarget(survey, request, worker);
      }
    }
    return survey;
  }

  private void visitTarget(CandidateSurvey survey, Request request, Worker worker) {
    Replica.State replica = state.replicaState(request.function, worker);
    survey.visited(worker, replica);
    boolean unknown = replica == Replica.State.UNKNOWN;
    boolean loaded = replica == Replica.State.LOADED;
    if (!retries.mayAttempt(request, worker)) {
      return;
    }
    if (!hasCapacity(request, worker)) {
      if (loaded || unknown) {
        survey.foundSaturated();
      }
    } else if (loaded || (unknown && triesUnknown(request))) {
      double difference = OVERFLOW_LOAD * state.ownShare;
      survey.foundAvailable(worker, comparableLoad(worker, replica), difference);
    } else if (unknown || state.settings.loadsOnDemand) {
      survey.foundUnknown(worker);
    }
  }

  private void visitPastTarget(CandidateSurvey survey, Request request, Worker worker) {
    Replica.State replica = state.replicaState(request.function, worker);
    survey.visited(worker, replica);
    boolean capacity = hasCapacity(request, worker);
    if (replica == Replica.State.LOADED && capacity && retries.mayAttempt(request, worker)) {
      survey.foundOverflow(worker);
    } else if (replica != Replica.State.LOADING && capacity && survey.next() == null) {
      survey.foundNext(worker);
    }
  }

  /**
   * Whether to send to a replica in unknown state. With many routers, another router may have
   * loaded it; the request must have an attempt left in case it is missing.
   */
  private boolean triesUnknown(Request request) {
    boolean lastAttempt = request.hasUsedUp(state.settings.maxAttempts - 1);
    return state.ownShare < 1 && !state.settings.loadsOnDemand && !lastAttempt;
  }

  /**
   * The load by which replicas are compared. It has a random part, which grows with the number of
   * routers so that they do not all choose the same replica.
   */
  private double comparableLoad(Worker worker, Replica.State replica) {
    boolean crosses = state.settings.crossZonePrice > 0 && worker.zone() != state.settings.zone;
    double crossing = crosses ? CROSS_ZONE_LOAD * OVERFLOW_LOAD : 0;
    double guess = replica == Replica.State.UNKNOWN ? OVERFLOW_LOAD : 0;
    // Without a lease the request would wait for a probe.
    double probe = leases.holds(worker) ? 0 : OVERFLOW_LOAD;
    double chance = state.random.nextDouble() * OVERFLOW_LOAD * (1 - state.ownShare);
    return estimator.load(worker) + guess + probe + crossing + chance;
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
    double yielding = Math.min(1, request.capacityDraw());
    return state.ownShare == 1
        || worker.report.cpuUtilization() < BUSY_CPU
        || estimator.foreignLoad(worker) * worker.latencyRatio() * yielding
            < estimator.capacity(request.requestClass);
  }
}
