package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import java.util.*;
import switchgap.policy.state.*;

/**
 * Places requests: on the first of the target replicas in hash order below its concurrency limit,
 * else onward along the order, else in a queue that is placed anew at each step, the most valuable
 * request first.
 */
final class RequestRouter {
  private static final double OVERFLOW_LOAD =
      1; // requests more than at the least loaded one: onward
  private static final double CROSS_ZONE_LOAD = 1.5; // times as much: own zone unless more loaded
  private static final int OVERFLOW_WORKERS = 4; // past the target, and as many more, are looked at
  private static final double MAX_PROBE_PRICE =
      0.03; // of a request's worth: past it nobody is probed
  private static final double BUSY_CPU = 0.9; // of its cores: below it nothing waits for them
  private static final double MAX_OVERCOMMIT =
      3; // times the limit, with requests that wait for a load
  private static final int QUEUE_STEPS = 20; // within the shortest objective
  private static final int FRESH_REPORT = 4; // part of it: a younger report needs no probe
  private static final double MIN_QUEUE = 2; // requests that may wait for one worker

  private final PolicyState state;
  private final SettingsSnapshot settings;
  private final OutlierDetector outliers;
  private final LoadEstimator estimator;
  private final ReplicaLoader loader;
  private final ReplicaScaler scaler;
  private final RetryPolicy retries;
  private final boolean probes;
  private final Duration queueStep;
  private final List<Request> queue = new ArrayList<>();

  RequestRouter(
      PolicyState state,
      OutlierDetector outliers,
      LoadEstimator estimator,
      ReplicaLoader loader,
      ReplicaScaler scaler,
      RetryPolicy retries) {
    this.state = state;
    this.outliers = outliers;
    this.estimator = estimator;
    this.loader = loader;
    this.scaler = scaler;
    this.retries = retries;
    settings = state.settings;
    probes =
        state.ownShare < 1 && settings.probesAllowed && 2 * settings.probePrice < MAX_PROBE_PRICE;
    queueStep = max(settings.tickInterval, settings.shortestObjective.dividedBy(QUEUE_STEPS));
  }

  /** Places a request, or has it wait; gives it up where no further attempt is allowed. */
  void placeOrQueue(Request request, boolean allowed) {
    request.queued = allowed && !place(request, survey(request));
    if (request.queued) {
      queue.add(request);
    }
    if (!allowed) {
      retries.giveUp(request);
    }
  }

  private CandidateSurvey survey(Request request) {
    Function function = request.function;
    CandidateSurvey survey = new CandidateSurvey();
    boolean avoidsFailed = request.failedWorkers.cardinality() < state.readyWorkers;
    int visited = 0;
    for (Worker worker : state.hashOrder(function)) {
      boolean avoided = avoidsFailed && request.failedWorkers.get(worker.id);
      if (outliers.isEjected(worker) || avoided) {
        continue;
      }
      boolean target = visited++ < function.targetReplicas;
      boolean found = survey.best != null || survey.overflow != null;
      if (!target && (found || visited > 2 * function.targetReplicas + OVERFLOW_WORKERS)) {
        break;
      }
      visit(survey, request, worker, target);
    }
    return survey;
  }

  private void visit(CandidateSurvey survey, Request request, Worker worker, boolean target) {
    Replica.State replica = state.replicaState(request.function, worker);
    boolean loaded = replica == Replica.State.LOADED;
    boolean unknown = replica == Replica.State.UNKNOWN;
    boolean loading = replica == Replica.State.LOADING;
    survey.met(worker, loaded, loading);
    // With many routers an unknown replica is tried, while a miss leaves a further attempt.
    boolean lastAttempt = request.hasUsedUp(settings.maxAttempts - 1);
    boolean guesses = unknown && state.ownShare < 1 && !settings.loadsOnDemand && !lastAttempt;
    boolean allowed = retries.mayAttempt(request, worker);
    boolean fits = allowed && hasCapacity(request, worker);
    survey.saturated |= target && allowed && !fits && (loaded || unknown);
    if (loaded && !target && fits) {
      survey.overflow = worker;
    } else if (target && fits && (loaded || guesses)) {
      survey.candidate(worker, load(worker, unknown), OVERFLOW_LOAD * state.ownShare);
    } else if (target && fits && survey.unknown == null && (unknown || settings.loadsOnDemand)) {
      survey.unknown = worker;
    } else if (!target && survey.next == null && !loading && hasCapacity(request, worker)) {
      survey.next = worker;
    }
  }

  /**
   * Load to compare; where routers outnumber a worker's capacity, a part of it is drawn by chance.
   */
  private double load(Worker worker, boolean unknown) {
    boolean crosses = settings.crossZonePrice > 0 && worker.zone != settings.zone;
    double crossing = crosses ? CROSS_ZONE_LOAD * OVERFLOW_LOAD : 0;
    return estimator.load(worker)
        + (unknown ? OVERFLOW_LOAD : 0)
        + crossing
        + state.random.nextDouble() * OVERFLOW_LOAD * (1 - state.ownShare);
  }

  private boolean hasCapacity(Request request, Worker worker) {
    double limit = estimator.concurrencyLimit(worker);
    int running = worker.inFlight - worker.waitingForLoad;
    boolean leftByOthers =
        state.ownShare == 1
            || worker.cpuUtilization < BUSY_CPU
            || estimator.foreignLoad(worker)
                    * worker.latencyRatio
                    * Math.min(1, request.capacityDraw)
                < estimator.capacity(request.requestClass);
    return leftByOthers && running < limit && worker.inFlight < MAX_OVERCOMMIT * limit;
  }

  /** Sends a request by what the survey met; false where it has to wait. */
  private boolean place(Request request, CandidateSurvey met) {
    Function function = request.function;
    boolean overflows = (met.overflow != null && settings.loadsOnDemand) || met.unknown == null;
    Worker choice = met.best != null ? met.best : overflows ? met.overflow : met.unknown;
    if (met.alternative != null && request.probeDeadline == null && probe(request, met)) {
      return false;
    }
    boolean saturated = met.best == null && met.saturated;
    function.saturatedArrivals += saturated ? 1 : 0;
    boolean further = choice == null && saturated && !met.loading && met.next != null;
    if (further
        && scaler.fitsMemory(function)
        && state.replicaState(function, met.next)
            != Replica.State.LOADED) { // one loaded may be too cold
      loader.load(function, met.next);
    }
    boolean missing = met.best == null && met.unknown == null && !met.loading && !met.saturated;
    if (missing) {
      loader.loadFirstMissing(function);
    }
    if (choice != null) {
      startAttempt(request, choice);
    }
    return choice != null;
  }

  /**
   * Probes two replicas' load, where responses come too seldom to tell; the request waits for it.
   */
  private boolean probe(Request request, CandidateSurvey met) {
    if (!probes || !estimator.probesReportLoad()) {
      return false;
    }
    request.probeDeadline = state.now.plus(queueStep);
    Duration fresh = settings.shortestObjective.dividedBy(FRESH_REPORT);
    for (Worker worker : List.of(met.best, met.alternative)) {
      if (worker.lastReport != null && state.isWithin(fresh, worker.lastReport)) {
        continue;
      }
      if (worker.awaitingProbe.isEmpty()) {
        state.actions.probe(worker.id);
      }
      worker.awaitingProbe.add(request);
      request.pendingProbes++;
    }
    return request.pendingProbes > 0;
  }

  private void startAttempt(Request request, Worker worker) {
    boolean loaded = state.replicaState(request.function, worker) == Replica.State.LOADED;
    request.attemptStarted(worker, new AttemptState(loaded, settings.loadsOnDemand), state.now);
    if (state.isWarmingUp(worker)) {
      worker.sendsWhileCold.add(state.now);
    }
    Duration timeout = request.deadline.minus(state.now).minus(state.deadlineMargin);
    state.actions.startAttempt(request.id, worker.id, timeout);
  }

  /** When the queue is due again, at a time at the latest. */
  Duration nextStep(Duration latest) {
    return queue.isEmpty() ? latest : min(state.now.plus(queueStep), latest);
  }

  /** Places what waits; gives up at once what can no longer be worth its place. */
  void placeQueued() {
    if (queue.isEmpty()) {
      return;
    }
    List<Request> waiting = new ArrayList<>(queue);
    waiting.sort(
        Comparator.comparingDouble((Request request) -> -request.worthAt(state.now))
            .thenComparing(request -> request.arrivedAt));
    queue.clear();
    for (Request request : waiting) {
      if (request.closed || !request.queued) {
        continue;
      }
      boolean probing = request.pendingProbes > 0 && !state.hasPassed(request.probeDeadline);
      CandidateSurvey met = probing ? null : survey(request);
      request.queued = probing || !place(request, met);
      if (probing || (request.queued && mayWait(request, met))) {
        queue.add(request);
      } else if (request.queued) {
        retries.giveUp(request);
      }
    }
    state.workers.forEach(worker -> worker.queuedAhead = 0);
  }

  /**
   * Whether a request may go on waiting for what its survey met; counts it in that worker's queue.
   */
  private boolean mayWait(Request request, CandidateSurvey met) {
    RequestClass requestClass = request.requestClass;
    Duration usual = LoadEstimator.usualDuration(requestClass);
    boolean onItsWay = !met.loaded && met.loading;
    Duration finished = state.now.minus(request.arrivedAt).plus(usual);
    boolean late = !onItsWay && !isShorter(finished, requestClass.latencyObjective);
    boolean crowdedOut = false;
    if (met.loaded) { // one busy worker rejects its own: it has a queue for half an objective
      double rate = met.first.relativeDurations.total() / 2;
      double length = Math.max(MIN_QUEUE, rate * toSeconds(requestClass.latencyObjective) / 2);
      crowdedOut = met.first.queuedAhead++ >= length * request.weight / requestClass.priorityWeight;
    }
    boolean usedUp = request.hasUsedUp(settings.maxAttempts);
    return !usedUp && !late && !crowdedOut && retries.endsInTime(request, usual);
  }
}
