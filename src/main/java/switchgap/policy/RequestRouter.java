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
 * Sends a request to the worker that its survey found, after load probes where reports are rare;
 * has replicas loaded where the survey found too few.
 */
final class RequestRouter {
  private static final double MAX_PROBE_PRICE = 0.03; // of a request's weight, for both probes
  private static final int FRESH_REPORT = 4; // in an objective: a younger report needs no probe
  private static final int STEPS = 20; // of the queue, within the shortest objective

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

  /** The time after which a queued request is placed again. */
  static Duration queueStep(PolicyState state) {
    return max(state.settings.tickInterval, state.settings.shortestObjective.dividedBy(STEPS));
  }

  /** Sends a request to what its survey found; returns false if it has to wait. */
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

  /** A worker that loads on demand is the last resort; one with an unknown replica comes first. */
  private Worker choose(CandidateSurvey survey) {
    if (survey.best() != null) {
      return survey.best();
    }
    boolean overflows = survey.overflow() != null && state.settings.loadsOnDemand;
    return overflows || survey.unknown() == null ? survey.overflow() : survey.unknown();
  }

  /** No target replica is available: loads one past the saturated ones, or the first missing. */
  private void loadReplicas(Function function, CandidateSurvey survey, Worker choice) {
    if (survey.anySaturated()) {
      function.placementSaturated();
      Worker next = survey.next();
      if (choice == null
          && next != null
          && !survey.anyLoading()
          && scaler.fitsMemory(function)
          && state.replicaState(function, next) != Replica.State.LOADED) { // but warming up
        loader.load(function, next);
      }
    } else if (survey.unknown() == null && !survey.anyLoading()) {
      loader.loadFirstMissing(function);
    }
  }

  /** Probes two replicas' load unless they reported it lately; returns whether to wait for it. */
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
