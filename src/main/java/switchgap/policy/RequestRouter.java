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
  /**
   * No probes are sent if the price of the two probes of a request is at least this share of its
   * weight.
   */
  private static final double MAX_PROBE_PRICE = 0.03;

  /**
   * The shortest latency objective divided by this is the maximum age of a load report that makes a
   * probe unnecessary.
   */
  private static final int REPORT_AGES_PER_OBJECTIVE = 4;

  /** Number of queue steps within the shortest latency objective. */
  private static final int QUEUE_STEPS_PER_OBJECTIVE = 20;

  private final PolicyState state;
  private final LoadEstimator estimator;
  private final ReplicaLoader loader;
  private final ReplicaScaler scaler;
  private final WorkerLeases leases;
  private final boolean usesProbes;
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
    usesProbes =
        state.settings.probesAllowed && state.ownShare < 1 && 2 * probePrice < MAX_PROBE_PRICE;
    queueStep = queueStep(state);
  }

  /** Interval at which the queue tries again to send its requests. */
  static Duration queueStep(PolicyState state) {
    return max(
        state.settings.tickInterval,
        state.settings.shortestObjective.dividedBy(QUEUE_STEPS_PER_OBJECTIVE));
  }

  /** Sends a request to the worker that its survey found; returns false if it has to wait. */
  boolean send(Request request, CandidateSurvey survey) {
    boolean mayProbe = survey.alternative() != null && !request.hasWaitedForProbes();
    if (mayProbe && sendProbes(request, survey)) {
      return false;
    }
    Worker worker = selectWorker(survey);
    if (survey.best() == null) {
      loadReplicas(request.function, survey, worker);
    }
    if (worker == null) {
      return false;
    }
    if (!leases.maySendTo(worker)) {
      leases.requestLease(worker, request);
      return false;
    }
    state.dispatcher.startAttempt(request, worker);
    return true;
  }

  /**
   * Returns the worker to send to, or null. If no target replica is available, a target whose
   * replica may have to be loaded first is preferred to a loaded replica beyond the targets. If
   * workers load on demand it is the other way round, since the attempt might have to wait for the
   * load.
   */
  private Worker selectWorker(CandidateSurvey survey) {
    if (survey.best() != null) {
      return survey.best();
    }
    boolean prefersOverflow = survey.overflow() != null && state.settings.loadsOnDemand;
    return prefersOverflow || survey.possiblyMissing() == null
        ? survey.overflow()
        : survey.possiblyMissing();
  }

  /**
   * Loads a replica if no target replica is available: the next one in hash order if target
   * replicas are saturated, else the first missing one.
   */
  private void loadReplicas(Function function, CandidateSurvey survey, Worker selected) {
    if (survey.anySaturated()) {
      function.placementSaturated();
      Worker next = survey.nextToLoad();
      // If the next replica is already loaded, it may not be sent an attempt now, for example
      // because its worker is warming up.
      if (selected == null
          && next != null
          && !survey.anyLoading()
          && scaler.fitsMemory(function)
          && state.replicaState(function, next) != Replica.State.LOADED) {
        loader.load(function, next);
      }
    } else if (survey.possiblyMissing() == null && !survey.anyLoading()) {
      loader.loadFirstMissing(function);
    }
  }

  /**
   * Probes the load of the best and the alternative candidate, except where a recent report is
   * available; returns whether the request has to wait for a reply.
   */
  private boolean sendProbes(Request request, CandidateSurvey survey) {
    if (!usesProbes || !estimator.probesReportLoad()) {
      return false;
    }
    request.waitForProbes(state.now().plus(queueStep));
    Duration maxReportAge = state.settings.shortestObjective.dividedBy(REPORT_AGES_PER_OBJECTIVE);
    for (Worker worker : List.of(survey.best(), survey.alternative())) {
      Duration reportedAt = worker.report.reportedAt();
      if (reportedAt == null || !state.isWithin(maxReportAge, reportedAt)) {
        state.dispatcher.probe(worker, request);
      }
    }
    return request.pendingProbes() > 0;
  }
}
