package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
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
import switchgap.policy.api.WorkerState;
import switchgap.router.RouterCore;

/**
 * Textbook choices to measure the routing policy against: any ready worker by chance, or each in
 * turn. Where no replica is loaded one is, and the request waits for it; what may be retried is,
 * elsewhere; the rest is given up as the rules ask.
 */
final class BaselinePolicy implements RouterCore.Policy, PolicyEvents {
  private static final class PendingRequest {
    final int requestIndex;
    final int requestClass;
    final int function;
    final Duration deadline;
    int attempts;
    int inFlight;
    int possiblyExecuted;
    boolean closed;

    PendingRequest(int requestIndex, int requestClass, int function, Duration deadline) {
      this.requestIndex = requestIndex;
      this.requestClass = requestClass;
      this.function = function;
      this.deadline = deadline;
    }
  }

  private final RouterSettings settings;
  private final boolean roundRobin;
  private final SplittableRandom random;
  private final Duration margin;
  private final List<Integer> ready = new ArrayList<>();
  private final Map<Integer, WorkerState> workerStates = new HashMap<>();
  private final Map<Integer, PendingRequest> pending = new HashMap<>();
  private final Map<Long, List<PendingRequest>> loading = new HashMap<>();
  private final Map<Integer, Integer> attemptsByWorker = new HashMap<>();
  private Duration now = Duration.ZERO;
  private PolicyActions actions;
  private int nextWorker;
  private boolean wakeUpScheduled;

  BaselinePolicy(RouterSettings settings, boolean roundRobin, long seed) {
    this.settings = settings;
    this.roundRobin = roundRobin;
    this.random = new SplittableRandom(seed);
    this.margin = settings.tickInterval().multipliedBy(2);
  }

  @Override
  public void tick(Duration at, EventBatch in, PolicyActions to) {
    now = at;
    actions = to;
    in.deliverTo(this);
    List<Integer> due = new ArrayList<>();
    pending.forEach(
        (requestIndex, request) -> {
          if (!request.closed
              && request.inFlight == 0
              && now.plus(margin.multipliedBy(2)).compareTo(request.deadline) >= 0) {
            due.add(requestIndex);
          }
        });
    due.forEach(requestIndex -> giveUp(requestIndex, pending.get(requestIndex)));
    if (!wakeUpScheduled) {
      wakeUpScheduled = true;
      actions.scheduleWakeUp(margin, 0);
    }
  }

  private void place(int requestIndex, PendingRequest request) {
    if (request.closed) {
      return;
    }
    if (ready.isEmpty()
        || request.attempts >= settings.maxAttempts()
        || now.plus(margin).compareTo(request.deadline) >= 0) {
      giveUp(requestIndex, request);
      return;
    }
    send(
        requestIndex,
        request,
        ready.get(roundRobin ? nextWorker++ % ready.size() : random.nextInt(ready.size())));
  }

  private void send(int requestIndex, PendingRequest request, int worker) {
    request.attempts++;
    request.inFlight++;
    attemptsByWorker.merge(worker, 1, Integer::sum);
    actions.startAttempt(requestIndex, worker, request.deadline.minus(now).minus(margin));
  }

  private void giveUp(int requestIndex, PendingRequest request) {
    if (request.closed) {
      return;
    }
    request.closed = true;
    if (settings.idempotency(request.requestClass) == Idempotency.IDEMPOTENT
        || request.possiblyExecuted + request.inFlight == 0) {
      actions.reject(requestIndex, null);
    } else {
      actions.fail(requestIndex);
    }
    settle(requestIndex, request);
  }

  private void settle(int requestIndex, PendingRequest request) {
    if (request.closed && request.inFlight == 0 && pending.remove(requestIndex) != null) {
      actions.releaseRequest(requestIndex);
    }
  }

  @Override
  public void endpointListStarted(boolean complete) {
    if (complete) {
      workerStates.replaceAll((worker, state) -> WorkerState.GONE);
    }
  }

  @Override
  public void endpointListed(EndpointEntry entry) {
    workerStates.put(entry.worker(), entry.state());
  }

  @Override
  public void endpointListEnded() {
    ready.clear();
    workerStates.forEach(
        (worker, state) -> {
          if (state == WorkerState.READY) {
            ready.add(worker);
          }
        });
    List<Integer> gone = new ArrayList<>();
    workerStates.forEach(
        (worker, state) -> {
          if (state == WorkerState.GONE
              && attemptsByWorker.getOrDefault(worker, 0) == 0
              && loading.keySet().stream().noneMatch(key -> (int) (key >> 32) == worker)) {
            gone.add(worker);
          }
        });
    gone.forEach(
        worker -> {
          workerStates.remove(worker);
          actions.releaseWorker(worker);
        });
  }

  @Override
  public void endpointListFailed() {}

  @Override
  public void requestArrived(RequestArrival arrival) {
    PendingRequest request =
        new PendingRequest(
            arrival.request(), arrival.requestClass(), arrival.function(), arrival.deadline());
    pending.put(request.requestIndex, request);
    place(request.requestIndex, request);
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    int requestIndex = result.request();
    int worker = result.worker();
    AttemptOutcome end = result.outcome();
    PendingRequest request = pending.get(requestIndex);
    request.inFlight--;
    attemptsByWorker.merge(worker, -1, Integer::sum);
    request.possiblyExecuted += end.neverExecuted() ? 0 : 1;
    request.closed |= result.requestClosed();
    if (!request.closed
        && end == AttemptOutcome.NOT_LOADED
        && workerStates.get(worker) == WorkerState.READY) {
      long key = (long) worker << 32 | request.function;
      List<PendingRequest> waiting = loading.get(key);
      if (waiting == null) {
        waiting = new ArrayList<>();
        loading.put(key, waiting);
        actions.load(worker, request.function);
      }
      waiting.add(request);
    } else if (!request.closed) {
      if (request.possiblyExecuted == 0
          || settings.idempotency(request.requestClass) == Idempotency.IDEMPOTENT) {
        place(requestIndex, request);
      } else {
        giveUp(requestIndex, request);
      }
    }
    settle(requestIndex, request);
  }

  @Override
  public void loadCommandEnded(LoadCommandResult result) {
    int worker = result.worker();
    List<PendingRequest> waiting = loading.remove((long) worker << 32 | result.function());
    if (waiting == null) {
      return;
    }
    for (PendingRequest request :
        waiting) { // one given up meanwhile may have left its index to another
      int requestIndex = request.requestIndex;
      if (pending.get(requestIndex) != request || request.closed || request.inFlight > 0) {
        continue;
      }
      if (result.loadedReplicas() > 0
          && workerStates.get(worker) == WorkerState.READY
          && request.attempts < settings.maxAttempts()
          && now.plus(margin).compareTo(request.deadline) < 0) {
        send(requestIndex, request, worker);
      } else {
        place(requestIndex, request);
      }
    }
  }

  @Override
  public void clientDisconnected(int requestIndex) {
    PendingRequest request = pending.get(requestIndex);
    request.closed = true;
    settle(requestIndex, request);
  }

  @Override
  public void wakeUp(long token) {
    wakeUpScheduled = false;
  }

  @Override
  public void probeEnded(ProbeResult result) {}
}
