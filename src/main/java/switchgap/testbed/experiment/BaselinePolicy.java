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
 * A baseline that the routing policy is compared with. It sends each request to a ready worker,
 * selected at random or round robin. If the function is not loaded there, it loads a replica and
 * the request waits for it. If an attempt ends without success and may be retried, it starts
 * another one on the next selected worker. It rejects or fails all other unserved requests before
 * their deadline, as the router's invariants require.
 */
final class BaselinePolicy implements RouterCore.Policy, PolicyEvents {
  /** Identifies a load command in flight: at most one per worker and function. */
  private record LoadKey(int worker, int function) {}

  private final RouterSettings settings;
  private final Duration deadlineMargin;
  private final BaselineWorkers workers;
  private final Map<Integer, BaselineRequest> pendingByIndex = new HashMap<>();
  private final Map<LoadKey, List<BaselineRequest>> requestsAwaitingLoad = new HashMap<>();
  private Duration now = Duration.ZERO;
  private PolicyActions actions;
  private boolean wakeUpScheduled;

  BaselinePolicy(RouterSettings settings, BaselineChoice choice, long seed) {
    this.settings = settings;
    this.workers = new BaselineWorkers(choice, seed);
    this.deadlineMargin = settings.tickInterval().multipliedBy(2);
  }

  @Override
  public void tick(Duration time, EventBatch events, PolicyActions tickActions) {
    now = time;
    actions = tickActions;
    events.deliverTo(this);
    unservedRequestsNearDeadline().forEach(this::rejectOrFail);
    if (!wakeUpScheduled) {
      wakeUpScheduled = true;
      actions.scheduleWakeUp(deadlineMargin, 0);
    }
  }

  /** Returns the open requests without an attempt in flight whose deadline is near. */
  private List<BaselineRequest> unservedRequestsNearDeadline() {
    List<BaselineRequest> nearDeadline = new ArrayList<>();
    for (BaselineRequest request : pendingByIndex.values()) {
      if (!request.isClosed()
          && !request.hasAttemptInFlight()
          && isDeadlineWithin(deadlineMargin.multipliedBy(2), request.deadline())) {
        nearDeadline.add(request);
      }
    }
    return nearDeadline;
  }

  private boolean isDeadlineWithin(Duration timeLeft, Duration deadline) {
    return now.plus(timeLeft).compareTo(deadline) >= 0;
  }

  private boolean mayStartAttempt(BaselineRequest request) {
    return request.startedAttempts() < settings.maxAttempts()
        && !isDeadlineWithin(deadlineMargin, request.deadline());
  }

  private void route(BaselineRequest request) {
    if (request.isClosed()) {
      return;
    }
    if (workers.hasNoReadyWorker() || !mayStartAttempt(request)) {
      rejectOrFail(request);
      return;
    }
    startAttempt(request, workers.chooseReadyWorker());
  }

  private void startAttempt(BaselineRequest request, int worker) {
    request.attemptStarted();
    workers.attemptStarted(worker);
    Duration timeout = request.deadline().minus(now).minus(deadlineMargin);
    actions.startAttempt(request.requestIndex(), worker, timeout);
  }

  /** Rejects the request if a retry by the client is harmless, otherwise fails it. */
  private void rejectOrFail(BaselineRequest request) {
    if (request.isClosed()) {
      return;
    }
    request.close();
    boolean maybeExecuted = request.isPossiblyExecuted() || request.hasAttemptInFlight();
    if (isIdempotent(request) || !maybeExecuted) {
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
    if (request.isSettled() && pendingByIndex.remove(request.requestIndex()) != null) {
      actions.releaseRequest(request.requestIndex());
    }
  }

  @Override
  public void endpointListStarted(boolean complete) {
    workers.endpointListStarted(complete);
  }

  @Override
  public void endpointListed(EndpointEntry entry) {
    workers.endpointListed(entry);
  }

  @Override
  public void endpointListEnded() {
    workers.endpointListEnded();
    for (int worker : workers.goneWithoutAttempts()) {
      if (requestsAwaitingLoad.keySet().stream().noneMatch(load -> load.worker == worker)) {
        workers.remove(worker);
        actions.releaseWorker(worker);
      }
    }
  }

  @Override
  public void endpointListFailed() {}

  @Override
  public void requestArrived(RequestArrival arrival) {
    BaselineRequest request = new BaselineRequest(arrival);
    pendingByIndex.put(request.requestIndex(), request);
    route(request);
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    BaselineRequest request = pendingByIndex.get(result.request());
    request.attemptEnded(result);
    workers.attemptEnded(result.worker());
    if (!request.isClosed()) {
      if (result.outcome() == AttemptOutcome.NOT_LOADED && workers.isReady(result.worker())) {
        awaitLoad(request, result.worker());
      } else if (isIdempotent(request) || !request.isPossiblyExecuted()) {
        route(request);
      } else {
        rejectOrFail(request);
      }
    }
    releaseIfSettled(request);
  }

  private void awaitLoad(BaselineRequest request, int worker) {
    LoadKey key = new LoadKey(worker, request.function());
    List<BaselineRequest> waitingRequests = requestsAwaitingLoad.get(key);
    if (waitingRequests == null) {
      waitingRequests = new ArrayList<>();
      requestsAwaitingLoad.put(key, waitingRequests);
      actions.load(worker, request.function());
    }
    waitingRequests.add(request);
  }

  @Override
  public void loadCommandEnded(LoadCommandResult result) {
    int worker = result.worker();
    List<BaselineRequest> waitingRequests =
        requestsAwaitingLoad.remove(new LoadKey(worker, result.function()));
    if (waitingRequests == null) {
      return;
    }
    for (BaselineRequest request : waitingRequests) {
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

  /**
   * Whether the request still waits. If it was closed, a later request may have taken over its
   * index.
   */
  private boolean isStillWaiting(BaselineRequest request) {
    return pendingByIndex.get(request.requestIndex()) == request
        && !request.isClosed()
        && !request.hasAttemptInFlight();
  }

  @Override
  public void clientDisconnected(int requestIndex) {
    BaselineRequest request = pendingByIndex.get(requestIndex);
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
