package switchgap.policy;

import static switchgap.policy.state.Durations.SECOND;
import static switchgap.policy.state.Durations.min;
import static switchgap.policy.state.Durations.scale;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;
import switchgap.policy.state.AttemptState;
import switchgap.policy.state.Function;
import switchgap.policy.state.HistogramEdges;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Request;
import switchgap.policy.state.SettingsSnapshot;
import switchgap.policy.state.WakeUpTimer;
import switchgap.policy.state.Worker;

/**
 * The entry point of the routing policy of one router; each other class of this package handles one
 * concern. A single thread calls {@link #tick} with the events since the last tick, and the policy
 * calls {@link PolicyActions} with its decisions. See docs/design.md for the design.
 */
public final class RoutingPolicy implements PolicyEvents {
  private static final HistogramEdges HISTOGRAM_EDGES =
      new HistogramEdges(
          new double[] {1 / 16., 1 / 8., 1 / 4., 1 / 2., 1, 2, 4}, // relative durations
          new double[] {0.5, 1, 1.5, 2, 3, 5, 8}, // latency ratios
          new double[] {1, 2, 3, 4, 6, 8, 12, 16, 24}, // foreign loads
          new double[] {0.5}, // errors
          new double[] {0.25, 0.5, 1, 1.5, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48}); // concurrency

  /**
   * Minimum time to the deadline of a new request, as a multiple of its expected duration. With
   * less time it would probably fail and only load the workers.
   */
  private static final double MIN_TIME_FACTOR = 1.5;

  /** Multiple of its share of all requests above which a tenant is over quota. */
  private static final double OVER_QUOTA_FACTOR = 1.25;

  /** Number of requests below which the tenants' shares are too uncertain to compare. */
  private static final double MIN_TENANT_REQUESTS = 20;

  /** Polls of the endpoint list within the longest permitted poll interval. */
  private static final int POLLS_PER_INTERVAL = 4;

  private final PolicyState state;
  private final DeadlineMargin deadlineMargin;
  private final SlowStart slowStart;
  private final OutlierDetector outliers;
  private final LoadEstimator estimator;
  private final WorkerLeases leases;
  private final ReplicaLoader loader;
  private final ReplicaScaler scaler;
  private final FunctionEviction functionEviction;
  private final ReplicaStateLimit replicaStateLimit;
  private final RetryPolicy retries;
  private final RequestQueue queue;
  private final WakeUpTimer wakeUps = new WakeUpTimer();

  /** Null if the endpoint list is not polled. */
  private final Duration pollInterval;

  private Duration nextSecond = Duration.ZERO;
  private Duration nextPoll = Duration.ZERO;

  /** Creates a policy that takes all its random numbers from a generator with this seed. */
  public RoutingPolicy(RouterSettings routerSettings, long seed) {
    SettingsSnapshot settings = new SettingsSnapshot(routerSettings, HISTOGRAM_EDGES);
    double ownShare = Math.min(1, LoadEstimator.DEFAULT_CAPACITY / settings.routerCount);
    Duration margin = DeadlineMargin.min(settings.tickInterval);
    state = new PolicyState(settings, HISTOGRAM_EDGES, seed, ownShare, margin);
    deadlineMargin = new DeadlineMargin(state);
    slowStart = new SlowStart(state);
    outliers = new OutlierDetector(state);
    estimator = new LoadEstimator(state, slowStart);
    leases = new WorkerLeases(state, RequestRouter.queueStep(state));
    loader = new ReplicaLoader(state, outliers, leases);
    scaler = new ReplicaScaler(state, outliers, loader, leases);
    functionEviction = new FunctionEviction(state);
    replicaStateLimit = new ReplicaStateLimit(state);
    retries = new RetryPolicy(state, slowStart);
    CandidateSelector selector = new CandidateSelector(state, outliers, leases, estimator, retries);
    RequestRouter router = new RequestRouter(state, estimator, loader, scaler, leases);
    queue = new RequestQueue(state, selector, router, retries);
    Duration maxPollInterval = settings.endpointPollInterval;
    pollInterval = maxPollInterval == null ? null : maxPollInterval.dividedBy(POLLS_PER_INTERVAL);
  }

  /**
   * Applies the events since the last tick and calls {@code actions} with the decisions. The other
   * public methods are for the event batch to call.
   */
  public void tick(Duration now, EventBatch events, PolicyActions actions) {
    state.beginTick(now, actions);
    events.deliverTo(this);
    if (pollInterval != null && state.hasPassed(nextPoll)) {
      actions.subscribeToEndpoints();
      nextPoll = now.plus(pollInterval);
    }
    if (state.hasPassed(nextSecond)) {
      runPeriodicUpdate();
      nextSecond = now.plus(SECOND);
    }
    queue.sendQueued();
    wakeUps.schedule(queue.nextStep(nextSecond), now, actions);
  }

  /** The periodic update, once a second: lets old measurements fade and derives new estimates. */
  private void runPeriodicUpdate() {
    state.decayRequestCounts();
    deadlineMargin.forgetOutdatedDelay();
    slowStart.updateWorkerRate();
    estimator.updateEstimates();
    outliers.decayOutcomeCounts();
    leases.updatePresumedRestarts();
    scaler.updateTargets();
    replicaStateLimit.enforce();
  }

  @Override
  public void wakeUp(long token) {
    wakeUps.fired(token);
  }

  @Override
  public void timersDelayed(Duration delay) {
    deadlineMargin.timersDelayed(delay);
  }

  @Override
  public void requestArrived(RequestArrival arrival) {
    Request request = state.add(arrival);
    boolean isOverQuota =
        state.tenants.total() > MIN_TENANT_REQUESTS
            && state.tenants.exceeds(arrival.tenant(), OVER_QUOTA_FACTOR);
    double weight = request.weight() * (isOverQuota ? state.settings.overQuotaWeight : 1);
    double capacityDraw = state.random.nextDouble() * state.settings.maxPriorityWeight / weight;
    request.prioritize(weight, capacityDraw);
    // A request that would time out before its response is given up now: it and its retries would
    // only load the workers.
    Duration minTime = scale(estimator.expectedDuration(request), MIN_TIME_FACTOR);
    sendOrGiveUp(request, retries.endsInTime(request, minTime));
  }

  @Override
  public void functionLimitReached() {
    functionEviction.functionLimitReached();
  }

  private void sendOrGiveUp(Request request, boolean maySend) {
    if (maySend) {
      queue.sendOrQueue(request);
    } else {
      retries.giveUp(request);
    }
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    Request request = state.requests.get(result.request());
    Worker worker = state.workers.get(result.worker());
    AttemptOutcome outcome = result.outcome();
    AttemptState attempt = request.attemptEnded(result.attempt(), worker, outcome);
    if (outcome == AttemptOutcome.REJECTED) {
      estimator.workerRejected(request.requestClass, worker, result.load());
    } else {
      estimator.workerReported(worker, result.load());
    }
    scaler.concurrencyReported(request.function, result.load().concurrency());
    if (outcome == AttemptOutcome.SUCCEEDED) {
      estimator.attemptSucceeded(request, attempt, worker, result.duration());
    }
    outliers.attemptEnded(request, worker, result);
    leases.attemptEnded(worker, result);
    if (outcome != AttemptOutcome.TIMED_OUT && outcome != AttemptOutcome.CONNECT_FAILED) {
      worker.responded(state.now());
    }
    loader.attemptEnded(request.function, worker, outcome);
    if (result.requestClosed()) {
      state.close(request);
    } else if (!request.isClosed() && request.inFlight() == 0) {
      if (outcome != AttemptOutcome.NOT_LOADED) {
        request.markFailedAt(worker);
      }
      sendOrGiveUp(request, retries.mayRetry(request));
    }
    state.releaseIfSettled(request);
  }

  @Override
  public void loadCommandEnded(LoadCommandResult result) {
    Worker worker = state.workers.get(result.worker());
    Function function = state.functions.get(result.function());
    if (worker != null && function != null) {
      loader.loadCommandEnded(function, worker, result);
    }
  }

  @Override
  public void clientDisconnected(int index) {
    Request request = state.requests.get(index);
    state.close(request);
    if (state.settings.cancellationAllowed) {
      state.dispatcher.cancelAttempts(request);
    }
    state.releaseIfSettled(request);
  }

  @Override
  public void probeEnded(ProbeResult result) {
    Worker worker = state.workers.get(result.worker());
    if (worker == null) {
      return;
    }
    worker.probeEnded();
    leases.probeEnded(worker, result.outcome());
    estimator.probeEnded(worker, result);
    switch (result.outcome()) {
      case SUCCEEDED -> worker.responded(state.now());
      case CONNECT_FAILED, CONNECTION_LOST -> outliers.recordFault(worker);
      default -> {}
    }
  }

  @Override
  public void endpointListConfirmedUntil(Duration time) {
    state.endpointListConfirmedUntil(time);
  }

  @Override
  public void workerReconnected(int index) {
    Worker worker = state.workers.get(index);
    if (worker != null) {
      leases.workerReconnected(worker);
    }
  }

  @Override
  public void endpointListStarted(boolean complete) {
    state.endpointListStarted(complete);
  }

  @Override
  public void endpointListed(EndpointEntry entry) {
    state.endpointListed(entry);
  }

  @Override
  public void endpointListEnded() {
    state.endpointListEnded();
    loader.endpointListEnded();
  }

  @Override
  public void endpointListFailed() {
    Duration retryInterval = pollInterval == null ? SECOND : min(pollInterval, SECOND);
    nextPoll = state.now().plus(retryInterval);
  }
}
