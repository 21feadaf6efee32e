package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import switchgap.policy.api.*;
import switchgap.policy.state.*;

/**
 * Measures workers' load and requests' durations; derives workers' capacity and concurrency limits.
 */
final class LoadEstimator {
  /**
   * Requests that a worker is taken to bear at a time, from all routers, while nothing is measured.
   */
  static final double DEFAULT_CAPACITY = 10;

  private static final double FAST_DURATION = 0.15; // to an objective: past it the limit shrinks
  private static final double DEFAULT_DURATION = 0.25; // to an objective, while nothing is measured
  private static final double REPORT_HALF_LIFE = 1; // seconds in which half of a report is old news
  private static final double PRIOR_RATIOS = 4; // at the fleet's ratio, while a worker tells little
  private static final double MIN_LATENCY_RATIO = 0.5; // of the fleet's
  private static final double MIN_CONCURRENCY = 2; // or rejections feed on themselves
  private static final double MAX_REPORTS = 64; // past it halved
  private static final double MAX_SAMPLES = 256; // past it halved, or what once was usual stays so
  private static final int NO_REPORT_SECONDS = 64; // then probes may report load where they did not

  private final PolicyState state;
  private final SlowStart slowStart;
  private final double ownCapacity; // of a worker, for this router, while nothing is measured
  private double usualForeignLoad = 1;
  private boolean probesReportLoad = true;

  LoadEstimator(PolicyState state, SlowStart slowStart) {
    this.state = state;
    this.slowStart = slowStart;
    ownCapacity = DEFAULT_CAPACITY / state.settings.routerCount;
  }

  void everySecond() {
    double fleetRatio = state.fleet.latencyRatios.meanWithPrior(1, PRIOR_RATIOS);
    for (Worker worker : state.workers) {
      double ratio = worker.latencyRatios.meanWithPrior(fleetRatio, PRIOR_RATIOS) / fleetRatio;
      worker.latencyRatio = Math.max(MIN_LATENCY_RATIO, ratio);
      worker.presumedEmpty &= state.isWarmingUp(worker); // later others may have loaded
      worker.relativeDurations.halve();
    }
    usualForeignLoad = state.fleet.foreignLoads.meanWithPrior(1, 1);
    state.fleet.foreignLoads.halveAbove(MAX_REPORTS);
    state.fleet.latencyRatios.halve();
    for (RequestClass each : state.settings.requestClasses) {
      each.halveAbove(MAX_SAMPLES);
    }
    probesReportLoad |= state.seconds % NO_REPORT_SECONDS == 0;
  }

  boolean probesReportLoad() {
    return probesReportLoad;
  }

  void probeEnded(Worker worker, ProbeResult result) {
    LoadReport report = result.load().withInFlightFromQueue(worker.inFlight);
    workerReported(null, worker, report, false);
    boolean succeeded = result.outcome() == AttemptOutcome.SUCCEEDED;
    probesReportLoad = succeeded ? !Double.isNaN(report.inFlight()) : probesReportLoad;
  }

  void attemptSucceeded(Request request, AttemptState attempt, Worker worker, Duration duration) {
    RequestClass requestClass = request.requestClass;
    double relative = toSeconds(duration) / toSeconds(requestClass.latencyObjective);
    Duration usual = request.hasDurationHint() ? request.durationHint : usualDuration(requestClass);
    double ratio = toSeconds(duration) / toSeconds(usual);
    worker.relativeDurations.add(relative);
    if (!attempt.replicaLoaded) {
      return;
    }
    worker.latencyRatios.add(ratio);
    state.fleet.latencyRatios.add(ratio);
    requestClass.responded(relative, worker.foreignLoad);
  }

  /**
   * Takes in a worker's report; one that rejected an attempt is taken to hold twice what it bears.
   */
  void workerReported(
      RequestClass requestClass, Worker worker, LoadReport report, boolean rejected) {
    // With few routers much of that is this one's own, as of a while ago: less today's, it is
    // noise.
    boolean silent = state.ownShare == 1 || Double.isNaN(report.inFlight());
    if (silent && report.concurrency() < 0 && !rejected) {
      return;
    }
    double foreign = report.inFlight() - worker.inFlight;
    double load = silent ? Math.max(report.concurrency(), foreignLoad(worker)) : foreign;
    load = Math.max(0, rejected ? Math.max(load, 2 * capacity(requestClass)) : load);
    worker.reported(load, rejected ? 1 : report.cpuUtilization(), state.now);
    state.fleet.foreignLoads.add(
        silent ? Math.max(0, report.concurrency()) : load); // or it only grows
  }

  /** What a further request would meet: this router's requests and what others hold, by latency. */
  double load(Worker worker) {
    double requests = worker.inFlight - worker.waitingForLoad + 1 + foreignLoad(worker);
    return requests * worker.latencyRatio / slowStart.capacityShare(worker);
  }

  /**
   * Other routers' requests at a worker: its last report, which fades to the usual within seconds.
   */
  double foreignLoad(Worker worker) {
    if (worker.lastReport == null) {
      return usualForeignLoad;
    }
    double fading = Math.pow(0.5, toSeconds(state.now.minus(worker.lastReport)) / REPORT_HALF_LIFE);
    return usualForeignLoad + (worker.foreignLoad - usualForeignLoad) * fading;
  }

  /**
   * What a worker bears of all routers: requests met there by the time they took, times the
   * objective.
   */
  double capacity(RequestClass requestClass) {
    Histogram durations = requestClass.relativeDurations;
    if (durations.total() < 1) {
      return DEFAULT_CAPACITY;
    }
    return (durations.total() + requestClass.foreignLoads.sum()) / durations.sum();
  }

  /** Requests of this router at a worker: its measured rate for half an objective, and a few. */
  double concurrencyLimit(Worker worker) {
    Histogram durations = worker.relativeDurations; // blind to loads; holds one to two seconds: 1.5
    double usual = durations.total() < 1 ? 0 : durations.quantile(0.5);
    double most =
        ownCapacity + durations.total() / 1.5 * toSeconds(state.settings.shortestObjective) / 2;
    double warm = slowStart.capacityShare(worker);
    double least = Math.max(1, Math.min(MIN_CONCURRENCY, ownCapacity) * warm);
    return Math.max(least, most * Math.min(warm, FAST_DURATION / usual));
  }

  /**
   * What a request should take: its hint, stretched as others were, else what is usual for its
   * class.
   */
  Duration expectedDuration(Request request) {
    double ratio = state.fleet.latencyRatios.quantile(0.5);
    boolean hinted = request.hasDurationHint() && !Double.isNaN(ratio);
    return hinted ? scale(request.durationHint, ratio) : usualDuration(request.requestClass);
  }

  static Duration usualDuration(RequestClass requestClass) {
    Histogram durations = requestClass.relativeDurations;
    double relative = durations.total() == 0 ? DEFAULT_DURATION : durations.quantile(0.5);
    return scale(requestClass.latencyObjective, relative);
  }
}
