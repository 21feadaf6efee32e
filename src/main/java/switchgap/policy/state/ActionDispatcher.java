package switchgap.policy.state;

import java.time.Duration;
import java.util.Objects;

/**
 * Carries out decisions: records each in the state and passes it to the actions of the tick. It
 * decides nothing.
 */
public final class ActionDispatcher {
  private final PolicyState state;

  ActionDispatcher(PolicyState state) {
    this.state = state;
  }

  /** Sends a request to a worker. */
  public void startAttempt(Request request, Worker worker) {
    boolean loaded = state.replicaState(request.function, worker) == Replica.State.LOADED;
    AttemptState attempt = new AttemptState(loaded, state.settings.loadsOnDemand);
    request.attemptStarted(worker, attempt, state.now());
    if (state.isWarmingUp(worker)) {
      worker.slowStartSends.add(state.now());
    }
    limitSends(worker);
    Duration timeout = request.deadline.minus(state.now()).minus(state.deadlineMargin);
    state.actions().startAttempt(request.id, worker.id, timeout);
  }

  /** Cancels all attempts of a request that are in flight. */
  public void cancelAttempts(Request request) {
    for (int attempt = 0; attempt < request.attemptCount(); attempt++) {
      if (request.isInFlight(attempt)) {
        state.actions().cancelAttempt(request.id, attempt);
      }
    }
  }

  /** Sends the final response that a retry is harmless, null for no advice when to retry. */
  public void reject(Request request, Duration retryAfter) {
    state.actions().reject(request.id, retryAfter);
    state.close(request);
    state.releaseIfSettled(request);
  }

  /** Sends the final response that promises nothing about the request's effect. */
  public void fail(Request request) {
    state.actions().fail(request.id);
    state.close(request);
    state.releaseIfSettled(request);
  }

  /** Sends a load probe to a worker for a request, or has it wait for the one in flight. */
  public void probe(Worker worker, Request request) {
    if (!worker.isProbed()) {
      probe(worker);
    }
    worker.awaitProbe(request);
  }

  /** Sends a load probe to a worker that has none in flight, for which no request waits. */
  public void probe(Worker worker) {
    worker.probeStarted(state.now());
    state.actions().probe(worker.id);
  }

  /** Has the worker's lease, if it needs one, hold for what is about to be sent to it. */
  private void limitSends(Worker worker) {
    Duration limit = state.sendLimit(worker);
    if (!Objects.equals(limit, worker.lease.sendLimit())) {
      worker.lease.sendsLimited(limit);
      state.actions().limitSends(worker.id, limit);
    }
  }

  /** Sends a load command, which counts for the load quota. */
  public void load(Function function, Worker worker) {
    state.loadQuota.commandStarted(state.now());
    function.replicaAt(worker).loadStarted(state.now());
    function.commandStarted(worker);
    limitSends(worker);
    state.actions().load(worker.id, function.id);
  }

  /** Sends a load command for a loaded replica, so that its idle timeout begins anew. */
  public void renew(Function function, Worker worker) {
    function.replicaAt(worker).queryStarted();
    function.commandStarted(worker);
    limitSends(worker);
    state.actions().load(worker.id, function.id);
  }

  /** Queries a worker whether it has a replica of a function. */
  public void queryReplicas(Function function, Worker worker) {
    function.replicaAt(worker).queryStarted();
    function.commandStarted(worker);
    state.actions().queryReplicas(worker.id, function.id);
  }

  /** Unloads a replica if this router had it loaded and its worker is ready. */
  public void unload(Function function, Worker worker) {
    if (function.replicaAt(worker).unloadStarted(worker.isReady())) {
      state.actions().unload(worker.id, function.id);
    }
  }
}
