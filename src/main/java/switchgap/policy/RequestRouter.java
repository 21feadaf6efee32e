package switchgap.policy;

import static switchgap.policy.state.Durations.max;

import java.time.Duration;
import java.util.List;
import switchgap.policy.state.CandidateSurvey;
import switchgap.policy.state.Function;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Replica;
import switchgap.policy.state.Request;
import switchgap.policy.state.Worker;

/**
 * Sends a request to the worker that its survey found, after load probes if no recent load report
 * is available. Loads replicas if the survey found too few.
 */
final class RequestRouter {
  /** Price of the two probes for a request, as a share of its weight, above which none are sent. */
  private static final double MAX_PROBE_PRICE = 0.03;

  /** A load report is recent for this fraction (1/4) of the shortest latency objective. */
  private static final int FRESH_REPORT = 4;

  /** Number of queue steps within the shortest latency objective. */
  private static final int STEPS = 20;

  private final PolicyState state;
  private final LoadEstimator estimator;
  private final ReplicaLoader loader;
  private final ReplicaScaler scaler;
  private final WorkerLeases leases;
  private final boolean probes;
  final Duration queueStep;

  RequestRouter(
      PolicyState state,
      LoadEstimator estimator,
      ReplicaLoader loader,
      ReplicaScaler scaler,
      WorkerLeases leases) {
    this.state = state;
    this.leases = leases;
    this.estimator = estimator;
    this.loader = loader;
    this.scaler = scaler;
    double probePrice = state.settings.probePrice;
    probes = state.settings.probesAllowed && state.ownShare < 1 && 2 * probePrice < MAX_PROBE_PRICE;
    queueStep = queueStep(state);
  }

  /** Interval at which the queue tries again to send its requests. */
  static Duration queueStep(PolicyState state) {
    return max(state.settings.tickInterval, state.settings.shortestObjective.dividedBy(STEPS));
  }

  /** Sends a request to the worker that its survey found; returns false if it has to wait. */
  boolean send(Request request, CandidateSurvey survey) {
    boolean comparable = survey.alternative() != null && !request.hasWaitedForProbes();
    if (comparable && sendProbes(request, survey)) {
      return false;
    }
    Worker choice = choose(survey);
    if (survey.best() == null) {
      loadReplicas(request.function, survey, choice);
    }
    if (choice == null) {
      return false;
    }
    if (!leases.holds(choice)) {
      leases.acquire(choice, request);
      return false;
    }
    state.dispatcher.startAttempt(request, choice);
    return true;
  }

  /**
   * Returns the worker to send to, or null. Without an available target replica, a worker whose
   * replica state is unknown precedes a loaded replica past the target, unless workers load on
   * demand: then the attempt would wait for the load.
   */
  private Worker choose(CandidateSurvey survey) {
    if (survey.best() != null) {
      return survey.best();
    }
    boolean overflows = survey.overflow() != null && state.settings.loadsOnDemand;
    return overflows || survey.unknown() == null ? survey.overflow() : survey.unknown();
  }

  /**
   * Loads a replica if no target replica is available: the next one in hash order if target
   * replicas are saturated, else the first missing one.
   */
  private void loadReplicas(Function function, CandidateSurvey survey, Worker choice) {
    if (survey.anySaturated()) {
      function.placementSaturated();
      Worker next = survey.next();
      if (choice == null
          && next != null
          && !survey.anyLoading()
          && scaler.fitsMemory(function)
          && state.replicaState(function, next) != Replica.State.LOADED) {
        // A loaded replica gets no attempts yet if its worker is warming up.
        loader.load(function, next);
      }
    } else if (survey.unknown() == null && !survey.anyLoading()) {
      loader.loadFirstMissing(function);
    }
  }

  /**
   * Probes the load of the two candidates that have not reported it recently; returns whether the
   * request has to wait for the replies.
   */
  private boolean sendProbes(Request request, CandidateSurvey survey) {
    if (!probes || !estimator.probesReportLoad()) {
      return false;
    }
    request.waitForProbes(state.now().plus(queueStep));
    Duration fresh = state.settings.shortestObjective.dividedBy(FRESH_REPORT);
    for (Worker worker : List.of(survey.best(), survey.alternative())) {
      Duration reportedAt = worker.report.reportedAt();
      if (reportedAt == null || !state.isWithin(fresh, reportedAt)) {
        state.dispatcher.probe(worker, request);
      }
    }
    return request.pendingProbes() > 0;
  }
}
