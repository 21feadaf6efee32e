package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;
import switchgap.router.RouterCore;

/**
 * Textbook policies to measure the routing policy against: any ready worker at random, or round
 * robin. Where no replica is loaded it loads one and the request waits for it; it retries elsewhere
 * what may be retried, and rejects or fails the rest before the deadline, as the invariants demand.
 */
final class BaselinePolicy implements RouterCore.Policy, PolicyEvents {
  /** A load command in flight: at most one for a function at a worker. */
  private record LoadKey(int worker, int function) {}

  private final RouterSettings settings;
  private final Duration margin;
  private final BaselineWorkers workers;
  private final Map<Integer, BaselineRequest> pending = new HashMap<>();
  private final Map<LoadKey, List<BaselineRequest>> waitingForLoad = new HashMap<>();
  private Duration now = Duration.ZERO;
  private PolicyActions actions;
  private boolean wakeUpScheduled;

  BaselinePolicy(RouterSettings settings, BaselineChoice choice, long seed) {
    this.settings = settings;
    this.workers = new BaselineWorkers(choice, seed);
    this.margin = settings.tickInterval().multipliedBy(2);
  }

  @Override
  public void tick(Duration time, EventBatch events, PolicyActions tickActions) {
    now = time;
    actions = tickActions;
    events.deliverTo(this);
    requestsDue().forEach(this::closeUnserved);
    if (!wakeUpScheduled) {
      wakeUpScheduled = true;
      actions.scheduleWakeUp(margin, 0);
    }
  }

  /** Open requests without an attempt in flight whose deadline is near. */
  private List<BaselineRequest> requestsDue() {
    List<BaselineRequest> due = new ArrayList<>();
    for (BaselineRequest request : pending.values()) {
      if (!request.isClosed()
          && !request.hasAttemptInFlight()
          && isWithin(margin.multipliedBy(2), request.deadline())) {
        due.add(request);
      }
    }
    return due;
  }

  private boolean isWithin(Duration distance, Duration deadline) {
    return now.plus(distance).compareTo(deadline) >= 0;
  }

  private boolean mayStartAttempt(BaselineRequest request) {
    return request.attempts() < settings.maxAttempts() && !isWithin(margin, request.deadline());
  }

  private void route(BaselineRequest request) {
    if (request.isClosed()) {
      return;
    }
    if (workers.noneReady() || !mayStartAttempt(request)) {
      closeUnserved(request);
      return;
    }
    startAttempt(request, workers.chooseReady());
  }

  private void startAttempt(BaselineRequest request, int worker) {
    request.attemptStarted();
    workers.attemptStarted(worker);
    Duration timeout = request.deadline().minus(now).minus(margin);
    actions.startAttempt(request.requestIndex(), worker, timeout);
  }

  /** Rejects the request where a retry is harmless, else fails it. */
  private void closeUnserved(BaselineRequest request) {
    if (request.isClosed()) {
      return;
    }
    request.close();
    boolean executed = request.isPossiblyExecuted() || request.hasAttemptInFlight();
    if (isIdempotent(request) || !executed) {
      actions.reject(request.requestIndex(), null);
    } else {
      actions.fail(request.requestIndex());
    }
    releaseIfSettled(request);
  }

  private boolean isIdempotent(BaselineRequest request) {
    return settings.idempotency(request.requestClass()) == Idempotency.IDEMPOTENT;
  }

  private void releaseIfSettled(BaselineRequest request) {
    if (request.isSettled() && pending.remove(request.requestIndex()) != null) {
      actions.releaseRequest(request.requestIndex());
    }
  }

  @Override
  public void endpointListStarted(boolean complete) {
    workers.listStarted(complete);
  }

  @Override
  public void endpointListed(EndpointEntry entry) {
    workers.listed(entry);
  }

  @Override
  public void endpointListEnded() {
    workers.listEnded();
    for (int worker : workers.goneAndIdle()) {
      if (waitingForLoad.keySet().stream().noneMatch(load -> load.worker == worker)) {
        workers.forget(worker);
        actions.releaseWorker(worker);
      }
    }
  }

  @Override
  public void endpointListFailed() {}

  @Override
  public void requestArrived(RequestArrival arrival) {
    BaselineRequest request = new BaselineRequest(arrival);
    pending.put(request.requestIndex(), request);
    route(request);
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    BaselineRequest request = pending.get(result.request());
    request.attemptEnded(result);
    workers.attemptEnded(result.worker());
    if (!request.isClosed()) {
      if (result.outcome() == AttemptOutcome.NOT_LOADED && workers.isReady(result.worker())) {
        awaitLoad(request, result.worker());
      } else if (isIdempotent(request) || !request.isPossiblyExecuted()) {
        route(request);
      } else {
        closeUnserved(request);
      }
    }
    releaseIfSettled(request);
  }

  private void awaitLoad(BaselineRequest request, int worker) {
    LoadKey key = new LoadKey(worker, request.function());
    List<BaselineRequest> waiting = waitingForLoad.get(key);
    if (waiting == null) {
      waiting = new ArrayList<>();
      waitingForLoad.put(key, waiting);
      actions.load(worker, request.function());
    }
    waiting.add(request);
  }

  @Override
  public void loadCommandEnded(LoadCommandResult result) {
    int worker = result.worker();
    List<BaselineRequest> waiting = waitingForLoad.remove(new LoadKey(worker, result.function()));
    if (waiting == null) {
      return;
    }
    for (BaselineRequest request : waiting) {
      if (!isStillWaiting(request)) {
        continue;
      }
      if (result.loadedReplicas() > 0 && workers.isReady(worker) && mayStartAttempt(request)) {
        startAttempt(request, worker);
      } else {
        route(request);
      }
    }
  }

  /** A request that was closed meanwhile may have left its index to another one. */
  private boolean isStillWaiting(BaselineRequest request) {
    return pending.get(request.requestIndex()) == request
        && !request.isClosed()
        && !request.hasAttemptInFlight();
  }

  @Override
  public void clientDisconnected(int requestIndex) {
    BaselineRequest request = pending.get(requestIndex);
    request.close();
    releaseIfSettled(request);
  }

  @Override
  public void wakeUp(long token) {
    wakeUpScheduled = false;
  }

  @Override
  public void probeEnded(ProbeResult result) {}
}
