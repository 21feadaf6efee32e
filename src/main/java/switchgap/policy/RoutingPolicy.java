package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import switchgap.policy.api.*;
import switchgap.policy.state.*;

/**
 * All decisions of one router, split by concern over this package. Called once a tick from one
 * thread. docs/design.md says what follows the design page and under what conditions each exception
 * acts.
 */
public final class RoutingPolicy implements PolicyEvents {
  private static final HistogramEdges EDGES =
      new HistogramEdges(
          new double[] {
            1 / 16., 1 / 8., 1 / 4., 1 / 2., 1, 2, 4
          }, // relative durations: to a latency objective
          new double[] {0.5, 1, 1.5, 2, 3, 5, 8}, // latency ratios: to the usual duration
          new double[] {1, 2, 3, 4, 6, 8, 12, 16, 24}, // foreign load: requests of other routers
          new double[] {0.5}, // errors: 1, and 0 for a success
          new double[] {
            0.25, 0.5, 1, 1.5, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48
          }); // concurrency, of a slot
  private static final int MARGIN_TICKS = 2; // before a deadline: a response is never late
  private static final double HOPELESS_DURATION =
      1.5; // of the expected: a nearer deadline is hopeless
  private static final double OVER_QUOTA = 1.25; // times a tenant's share
  private static final double MIN_TENANT_REQUESTS =
      20; // of all tenants: below them shares tell nothing
  private static final int POLLS_PER_INTERVAL = 4; // of the endpoint list

  private final PolicyState state;
  private final SlowStart slowStart;
  private final OutlierDetector outliers;
  private final LoadEstimator estimator;
  private final ReplicaLoader loader;
  private final ReplicaScaler scaler;
  private final RetryPolicy retries;
  private final RequestRouter router;
  private final Duration pollInterval; // null: the endpoint list comes by itself
  private Duration nextSecond = Duration.ZERO;
  private Duration nextPoll = Duration.ZERO;
  private Duration nextWakeUp; // the last one asked for
  private long wakeUps;

  /** A policy whose random draws come from the seed alone. */
  public RoutingPolicy(RouterSettings stated, long seed) {
    SettingsSnapshot settings = new SettingsSnapshot(stated, EDGES);
    double ownShare = Math.min(1, LoadEstimator.DEFAULT_CAPACITY / settings.routerCount);
    Duration margin = settings.tickInterval.multipliedBy(MARGIN_TICKS);
    state = new PolicyState(settings, EDGES, seed, ownShare, margin);
    slowStart = new SlowStart(state);
    outliers = new OutlierDetector(state);
    estimator = new LoadEstimator(state, slowStart);
    loader = new ReplicaLoader(state, outliers);
    scaler = new ReplicaScaler(state, outliers, loader);
    retries = new RetryPolicy(state, slowStart);
    router = new RequestRouter(state, outliers, estimator, loader, scaler, retries);
    Duration longest = settings.endpointPollInterval;
    pollInterval = longest == null ? null : longest.dividedBy(POLLS_PER_INTERVAL);
  }

  /**
   * Takes in the events since the last tick and decides; no other method is called but by the
   * batch.
   */
  public void tick(Duration now, EventBatch events, PolicyActions actions) {
    state.beginTick(now, actions);
    events.deliverTo(this);
    if (pollInterval != null && state.hasPassed(nextPoll)) {
      actions.subscribeToEndpoints();
      nextPoll = now.plus(pollInterval);
    }
    if (state.hasPassed(nextSecond)) {
      everySecond();
      nextSecond = now.plus(SECOND);
    }
    router.placeQueued();
    Duration due = router.nextStep(nextSecond);
    boolean lost = nextWakeUp != null && isShorter(nextWakeUp, now);
    if (nextWakeUp == null || lost || isShorter(due, nextWakeUp)) {
      actions.scheduleWakeUp(due.minus(now), ++wakeUps);
      nextWakeUp = due;
    }
  }

  private void everySecond() {
    state.everySecond();
    slowStart.everySecond();
    estimator.everySecond();
    outliers.everySecond();
    scaler.everySecond();
  }

  @Override
  public void wakeUp(long token) {
    nextWakeUp = token == wakeUps ? null : nextWakeUp;
  }

  @Override
  public void requestArrived(RequestArrival arrival) {
    Request request = state.add(arrival);
    boolean overQuota =
        state.tenants.total() > MIN_TENANT_REQUESTS
            && state.tenants.exceeds(arrival.tenant(), OVER_QUOTA);
    request.weight *= overQuota ? state.settings.overQuotaWeight : 1;
    request.capacityDraw =
        state.random.nextDouble() * state.settings.maxPriorityWeight / request.weight;
    // Whoever gives up sooner than a response can come only fills the workers, and more so as it
    // retries.
    Duration shortest = scale(estimator.expectedDuration(request), HOPELESS_DURATION);
    router.placeOrQueue(request, retries.endsInTime(request, shortest));
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    Request request = state.requests.get(result.request());
    Worker worker = state.workers.get(result.worker());
    AttemptOutcome outcome = result.outcome();
    AttemptState attempt = request.attemptEnded(result.attempt(), worker, outcome);
    boolean rejected = outcome == AttemptOutcome.REJECTED;
    estimator.workerReported(request.requestClass, worker, result.load(), rejected);
    scaler.concurrencyMet(request.function, result.load().concurrency());
    if (outcome == AttemptOutcome.SUCCEEDED) {
      estimator.attemptSucceeded(request, attempt, worker, result.duration());
    }
    outliers.attemptEnded(request, worker, result);
    if (outcome != AttemptOutcome.TIMED_OUT && outcome != AttemptOutcome.CONNECT_FAILED) {
      worker.lastResponse = state.now;
    }
    loader.attemptEnded(request.function, worker, outcome);
    if (result.requestClosed()) {
      state.close(request);
    } else if (!request.closed && request.inFlight == 0) {
      if (outcome != AttemptOutcome.NOT_LOADED) {
        request.failedWorkers.set(worker.id);
      }
      router.placeOrQueue(request, retries.mayRetry(request));
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
  public void clientLeft(int index) {
    Request request = state.requests.get(index);
    state.close(request);
    if (state.settings.cancellationAllowed) {
      state.cancelAttempts(request);
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
    estimator.probeEnded(worker, result);
    switch (result.outcome()) {
      case SUCCEEDED -> worker.lastResponse = state.now;
      case CONNECT_FAILED, CONNECTION_LOST -> outliers.failed(worker, true);
      default -> {}
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
    nextPoll = state.now.plus(pollInterval == null ? SECOND : min(pollInterval, SECOND));
  }
}
