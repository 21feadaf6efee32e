package switchgap.policy;

import static switchgap.policy.state.Durations.scale;
import static switchgap.policy.state.Durations.toSeconds;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.state.AttemptState;
import switchgap.policy.state.Histogram;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.RequestClass;
import switchgap.policy.state.Worker;

/**
 * Measures the workers' load and the requests' durations; derives the workers' capacity and this
 * router's concurrency limits. Relative durations are ratios to a class's latency objective.
 */
final class LoadEstimator {
  /** Requests, of all routers, that a worker is assumed to bear at a time until one is measured. */
  static final double DEFAULT_CAPACITY = 10;

  private static final double FAST_DURATION = 0.15; // relative; above it the limit shrinks
  private static final double DEFAULT_DURATION = 0.25; // relative, until one is measured
  private static final double REPORT_HALF_LIFE = 1; // seconds until a report counts half
  private static final double PRIOR_RATIOS = 4; // at the fleet's ratio, for a worker little known
  private static final double MIN_LATENCY_RATIO = 0.5; // of the fleet's
  private static final double MIN_CONCURRENCY = 2; // below it rejections cause more rejections
  private static final double WINDOW_SECONDS =
      1.5; // that a worker's durations are of: the mean of 1 and 2
  private static final double REJECTED_LOAD = 2; // times its capacity, at a worker that rejects
  private static final double MAX_REPORTS = 64; // above it halved each second
  private static final double MAX_SAMPLES = 256; // above it halved, so that old ones fade
  private static final int PROBE_RETRY_SECONDS = 64; // until probes without a report are retried

  private final PolicyState state;
  private final SlowStart slowStart;
  private final double ownCapacity; // this router's equal part of the default capacity
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
      worker.latencyRatioMeasured(Math.max(MIN_LATENCY_RATIO, ratio));
      if (!state.isWarmingUp(worker)) {
        worker.warmedUp();
      }
      worker.relativeDurations.halve();
    }
    usualForeignLoad = state.fleet.foreignLoads.meanWithPrior(1, 1);
    state.fleet.foreignLoads.halveAbove(MAX_REPORTS);
    state.fleet.latencyRatios.halve();
    for (RequestClass requestClass : state.settings.requestClasses) {
      requestClass.halveAbove(MAX_SAMPLES);
    }
    probesReportLoad |= state.seconds() % PROBE_RETRY_SECONDS == 0;
  }

  /** Whether the last successful probe reported a load, as far as known. */
  boolean probesReportLoad() {
    return probesReportLoad;
  }

  void probeEnded(Worker worker, ProbeResult result) {
    LoadReport report = result.load().withInFlightFromQueue(worker.inFlight());
    workerReported(worker, report);
    if (result.outcome() == AttemptOutcome.SUCCEEDED) {
      probesReportLoad = !Double.isNaN(report.inFlight());
    }
  }

  void attemptSucceeded(Request request, AttemptState attempt, Worker worker, Duration duration) {
    RequestClass requestClass = request.requestClass;
    double relative = toSeconds(duration) / toSeconds(requestClass.latencyObjective);
    Duration usual = request.hasDurationHint() ? request.durationHint : usualDuration(requestClass);
    double ratio = toSeconds(duration) / toSeconds(usual);
    worker.relativeDurations.add(relative);
    if (!attempt.replicaLoaded()) { // the duration includes the load
      return;
    }
    worker.latencyRatios.add(ratio);
    state.fleet.latencyRatios.add(ratio);
    requestClass.responded(relative, worker.report.foreignLoad());
  }

  /** Records the load that a worker reported with an attempt or a probe. */
  void workerReported(Worker worker, LoadReport report) {
    if (reportsForeignLoad(report) || report.concurrency() >= 0) {
      record(worker, report, reportedForeignLoad(worker, report), report.cpuUtilization());
    }
  }

  /** Records the load of a worker that rejected an attempt: all cores, and more than it bears. */
  void workerRejected(RequestClass requestClass, Worker worker, LoadReport report) {
    double overload = REJECTED_LOAD * capacity(requestClass);
    record(worker, report, Math.max(reportedForeignLoad(worker, report), overload), 1);
  }

  private void record(Worker worker, LoadReport report, double load, double cpuUtilization) {
    double foreignLoad = Math.max(0, load);
    worker.report.update(foreignLoad, cpuUtilization, state.now());
    // An estimate is kept out of the fleet's usual load, which would only grow by it.
    boolean reported = reportsForeignLoad(report);
    state.fleet.foreignLoads.add(reported ? foreignLoad : Math.max(0, report.concurrency()));
  }

  /** With few routers most of what a report counts are this router's own, by now ended requests. */
  private boolean reportsForeignLoad(LoadReport report) {
    return state.ownShare < 1 && !Double.isNaN(report.inFlight());
  }

  private double reportedForeignLoad(Worker worker, LoadReport report) {
    return reportsForeignLoad(report)
        ? report.inFlight() - worker.inFlight()
        : Math.max(report.concurrency(), foreignLoad(worker));
  }

  /** Requests at a worker with one more, of all routers, weighted by its latency and warm-up. */
  double load(Worker worker) {
    double requests = worker.running() + 1 + foreignLoad(worker);
    return requests * worker.latencyRatio() / slowStart.capacityShare(worker);
  }

  /** Other routers' requests at a worker: its last report, which decays to the usual. */
  double foreignLoad(Worker worker) {
    Duration reportedAt = worker.report.reportedAt();
    if (reportedAt == null) {
      return usualForeignLoad;
    }
    double decay = Math.pow(0.5, toSeconds(state.now().minus(reportedAt)) / REPORT_HALF_LIFE);
    return usualForeignLoad + (worker.report.foreignLoad() - usualForeignLoad) * decay;
  }

  /** Requests of all routers that a worker bears: those observed, divided by relative duration. */
  double capacity(RequestClass requestClass) {
    Histogram durations = requestClass.relativeDurations;
    if (durations.total() < 1) {
      return DEFAULT_CAPACITY;
    }
    return (durations.total() + requestClass.foreignLoads.sum()) / durations.sum();
  }

  /** This router's limit at a worker: its equal part, and half an objective at its present rate. */
  double concurrencyLimit(Worker worker) {
    Histogram durations = worker.relativeDurations; // of loads on demand, too
    double usual = durations.total() < 1 ? 0 : durations.quantile(0.5);
    double rate = durations.total() / WINDOW_SECONDS;
    double max = ownCapacity + rate * toSeconds(state.settings.shortestObjective) / 2;
    double warm = slowStart.capacityShare(worker);
    double min = Math.max(1, Math.min(MIN_CONCURRENCY, ownCapacity) * warm);
    return Math.max(min, max * Math.min(warm, FAST_DURATION / usual));
  }

  /** A request's hint, scaled by the median error of hints; without one, its class's duration. */
  Duration expectedDuration(Request request) {
    double ratio = state.fleet.latencyRatios.quantile(0.5);
    boolean hinted = request.hasDurationHint() && !Double.isNaN(ratio);
    return hinted ? scale(request.durationHint, ratio) : usualDuration(request.requestClass);
  }

  /** The median duration of a class's requests. */
  static Duration usualDuration(RequestClass requestClass) {
    Histogram durations = requestClass.relativeDurations;
    double relative = durations.total() == 0 ? DEFAULT_DURATION : durations.quantile(0.5);
    return scale(requestClass.latencyObjective, relative);
  }
}
