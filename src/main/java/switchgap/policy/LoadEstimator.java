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
 * Measures the load of workers and the durations of requests, and derives from them the capacity of
 * a worker and this router's concurrency limit at it. A relative duration is the ratio of a
 * duration to the latency objective of the request class.
 */
final class LoadEstimator {
  /** Assumed capacity of a worker in concurrent requests of all routers, until it is measured. */
  static final double DEFAULT_CAPACITY = 10;

  /** Median relative duration above which the concurrency limit of a worker shrinks. */
  private static final double FAST_RELATIVE_DURATION = 0.15;

  /** Relative duration assumed for a request class until one is measured. */
  private static final double DEFAULT_RELATIVE_DURATION = 0.25;

  /** Time after which the weight of a load report has halved. */
  private static final double REPORT_HALF_LIFE_SECONDS = 1;

  /** Weight of the fleet's mean latency ratio in that of a worker, in samples. */
  private static final double PRIOR_SAMPLES = 4;

  /** Lower bound of a worker's latency ratio, relative to the fleet's mean. */
  private static final double MIN_LATENCY_RATIO = 0.5;

  /** Lower bound of the limit of a warm worker; below it rejections cause further rejections. */
  private static final double MIN_CONCURRENCY = 2;

  /** Mean span of a worker's duration histogram, which covers the last one to two seconds. */
  private static final double DURATION_WINDOW_SECONDS = 1.5;

  /** Load assumed at a worker that rejected an attempt, as a multiple of its capacity. */
  private static final double REJECTION_LOAD_FACTOR = 2;

  /** Number of load reports above which the fleet's counts are halved each second. */
  private static final double MAX_REPORTS = 64;

  /** Number of durations above which the counts of a request class are halved each second. */
  private static final double MAX_CLASS_SAMPLES = 256;

  /** Interval at which probing is tried again after workers replied without a load report. */
  private static final int PROBE_RETRY_SECONDS = 64;

  private final PolicyState state;
  private final SlowStart slowStart;

  /** This router's equal share of the default capacity of a worker. */
  private final double ownCapacity;

  private double meanForeignLoad = 1;
  private boolean probesReportLoad = true;

  LoadEstimator(PolicyState state, SlowStart slowStart) {
    this.state = state;
    this.slowStart = slowStart;
    ownCapacity = DEFAULT_CAPACITY / state.settings.routerCount;
  }

  /**
   * Updates the latency ratios of the workers and the fleet's mean load, then halves the measured
   * counts so that old values fade.
   */
  void updateEstimates() {
    double fleetRatio = state.fleet.latencyRatios.meanWithPrior(1, PRIOR_SAMPLES);
    for (Worker worker : state.workers) {
      double ratio = worker.latencyRatios.meanWithPrior(fleetRatio, PRIOR_SAMPLES) / fleetRatio;
      worker.setLatencyRatio(Math.max(MIN_LATENCY_RATIO, ratio));
      if (!state.isWarmingUp(worker)) {
        worker.warmedUp();
      }
      worker.relativeDurations.halve();
    }
    meanForeignLoad = state.fleet.foreignLoads.meanWithPrior(1, 1);
    state.fleet.foreignLoads.halveAbove(MAX_REPORTS);
    state.fleet.latencyRatios.halve();
    for (RequestClass requestClass : state.settings.requestClasses) {
      requestClass.halveAbove(MAX_CLASS_SAMPLES);
    }
    probesReportLoad |= state.seconds() % PROBE_RETRY_SECONDS == 0;
  }

  /** Whether the last successful probe reported a load; true again after the retry interval. */
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
    double relativeDuration = toSeconds(duration) / toSeconds(requestClass.latencyObjective);
    Duration expected =
        request.hasDurationHint() ? request.durationHint : medianDuration(requestClass);
    double latencyRatio = toSeconds(duration) / toSeconds(expected);
    worker.relativeDurations.add(relativeDuration);
    if (!attempt.replicaLoaded()) {
      return; // the duration includes the time to load the replica
    }
    worker.latencyRatios.add(latencyRatio);
    state.fleet.latencyRatios.add(latencyRatio);
    requestClass.responded(relativeDuration, worker.report.foreignLoad());
  }

  /** Records the load that a worker reported with an attempt or a probe. */
  void workerReported(Worker worker, LoadReport report) {
    if (reportsForeignLoad(report) || report.concurrency() >= 0) {
      record(worker, report, reportedForeignLoad(worker, report), report.cpuUtilization());
    }
  }

  /**
   * Records full CPU utilization and a load of at least {@link #REJECTION_LOAD_FACTOR} times the
   * capacity for a worker that rejected an attempt.
   */
  void workerRejected(RequestClass requestClass, Worker worker, LoadReport report) {
    double assumedLoad = REJECTION_LOAD_FACTOR * capacity(requestClass);
    record(worker, report, Math.max(reportedForeignLoad(worker, report), assumedLoad), 1);
  }

  private void record(Worker worker, LoadReport report, double load, double cpuUtilization) {
    double foreignLoad = Math.max(0, load);
    worker.report.update(foreignLoad, cpuUtilization, state.now());
    // Estimates are derived from the fleet's mean. Adding them to it would drive it up.
    boolean isReported = reportsForeignLoad(report);
    state.fleet.foreignLoads.add(isReported ? foreignLoad : Math.max(0, report.concurrency()));
  }

  /**
   * Whether to derive other routers' load from the report. With few routers most of the reported
   * requests are this router's own, which may have ended since.
   */
  private boolean reportsForeignLoad(LoadReport report) {
    return state.ownShare < 1 && !Double.isNaN(report.inFlight());
  }

  private double reportedForeignLoad(Worker worker, LoadReport report) {
    return reportsForeignLoad(report)
        ? report.inFlight() - worker.inFlight()
        : Math.max(report.concurrency(), foreignLoad(worker));
  }

  /**
   * Load of a worker with one more request: the requests of all routers there, multiplied by its
   * latency ratio and divided by its share of the full capacity.
   */
  double load(Worker worker) {
    double requests = worker.running() + 1 + foreignLoad(worker);
    return requests * worker.latencyRatio() / slowStart.capacityShare(worker);
  }

  /** Other routers' requests at a worker: its last report, which decays to the fleet's mean. */
  double foreignLoad(Worker worker) {
    Duration reportedAt = worker.report.reportedAt();
    if (reportedAt == null) {
      return meanForeignLoad;
    }
    double decay =
        Math.pow(0.5, toSeconds(state.now().minus(reportedAt)) / REPORT_HALF_LIFE_SECONDS);
    return meanForeignLoad + (worker.report.foreignLoad() - meanForeignLoad) * decay;
  }

  /**
   * Capacity of a worker in concurrent requests of all routers: the mean number observed, divided
   * by the mean relative duration.
   */
  double capacity(RequestClass requestClass) {
    Histogram durations = requestClass.relativeDurations;
    if (durations.total() < 1) {
      return DEFAULT_CAPACITY;
    }
    return (durations.total() + requestClass.foreignLoads.sum()) / durations.sum();
  }

  /**
   * Maximum number of this router's concurrent requests at a worker: its equal share of the default
   * capacity, plus the requests that complete in half a latency objective at the current rate. The
   * sum is reduced while the worker is warming up or its median relative duration exceeds {@link
   * #FAST_RELATIVE_DURATION}, but not below a minimum.
   */
  double concurrencyLimit(Worker worker) {
    Histogram durations = worker.relativeDurations; // includes attempts that waited for a load
    double medianRelativeDuration = durations.total() < 1 ? 0 : durations.quantile(0.5);
    double completionRate = durations.total() / DURATION_WINDOW_SECONDS;
    double fullLimit =
        ownCapacity + completionRate * toSeconds(state.settings.shortestObjective) / 2;
    double capacityShare = slowStart.capacityShare(worker);
    double minLimit = Math.max(1, Math.min(MIN_CONCURRENCY, ownCapacity) * capacityShare);
    return Math.max(
        minLimit,
        fullLimit * Math.min(capacityShare, FAST_RELATIVE_DURATION / medianRelativeDuration));
  }

  /**
   * The duration hint of a request, multiplied by the median ratio of actual to expected durations;
   * without a hint, the median duration of its class.
   */
  Duration expectedDuration(Request request) {
    double medianRatio = state.fleet.latencyRatios.quantile(0.5);
    boolean usesHint = request.hasDurationHint() && !Double.isNaN(medianRatio);
    return usesHint
        ? scale(request.durationHint, medianRatio)
        : medianDuration(request.requestClass);
  }

  /** The median duration of the requests of a class, or a default before any is measured. */
  static Duration medianDuration(RequestClass requestClass) {
    Histogram durations = requestClass.relativeDurations;
    double relativeDuration =
        durations.total() == 0 ? DEFAULT_RELATIVE_DURATION : durations.quantile(0.5);
    return scale(requestClass.latencyObjective, relativeDuration);
  }
}
