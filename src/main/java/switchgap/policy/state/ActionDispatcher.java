package switchgap.policy.state;

import java.time.Duration;
import java.util.Objects;

/**
 * Carries out the decisions of a policy: records each one in the state and passes it to the {@code
 * PolicyActions} of the current tick.
 */
public final class ActionDispatcher {
  private final PolicyState state;

  ActionDispatcher(PolicyState state) {
    this.state = state;
  }

  /** Starts an attempt of a request at a worker; it times out at the deadline less the margin. */
  public void startAttempt(Request request, Worker worker) {
    limitAttempts(request);
    boolean loaded = state.replicaState(request.function, worker) == Replica.State.LOADED;
    AttemptState attempt = new AttemptState(loaded, state.settings.loadsOnDemand);
    request.attemptStarted(worker, attempt, state.now());
    if (state.isWarmingUp(worker)) {
      worker.slowStartSends.add(state.now());
    }
    limitSends(worker);
    Duration timeout = request.deadline.minus(state.now()).minus(state.deadlineMargin());
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

  /**
   * Sends the final response that the client may safely retry, and closes the request.
   *
   * @param retryAfter delay that the client should wait before it retries, or null for none
   */
  public void reject(Request request, Duration retryAfter) {
    state.actions().reject(request.id, retryAfter);
    state.close(request);
    state.releaseIfSettled(request);
  }

  /** Sends the final response that the request may have been executed, and closes the request. */
  public void fail(Request request) {
    state.actions().fail(request.id);
    state.close(request);
    state.releaseIfSettled(request);
  }

  /** Makes a request wait for a load probe of a worker; sends one unless one is in flight. */
  public void probe(Worker worker, Request request) {
    if (!worker.isProbeInFlight()) {
      probe(worker);
    }
    worker.awaitProbe(request);
  }

  /** Sends a load probe to a worker that has none in flight; no request waits for it. */
  public void probe(Worker worker) {
    worker.probeStarted(state.now());
    state.actions().probe(worker.id);
  }

  /** Limits attempts of a request to the time for which it may be repeated, if it has changed. */
  private void limitAttempts(Request request) {
    Duration limit = request.repeatableUntil(state.minDeadlineMargin);
    if (!Objects.equals(limit, request.attemptLimit())) {
      request.attemptsLimited(limit);
      state.actions().limitAttempts(request.id, limit);
    }
  }

  /** Limits sends to a worker to the current lease, if leases are required and it has changed. */
  private void limitSends(Worker worker) {
    Duration limit = state.sendLimit(worker);
    if (!Objects.equals(limit, worker.lease.sendLimit())) {
      worker.lease.sendsLimited(limit);
      state.actions().limitSends(worker.id, limit);
    }
  }

  /** Sends a load command, which counts against the load quota. */
  public void load(Function function, Worker worker) {
    state.loadQuota.commandStarted(state.now());
    function.replicaAt(worker).loadStarted(state.now());
    function.commandStarted(worker);
    limitSends(worker);
    state.actions().load(worker.id, function.id);
  }

  /** Sends a load command for a loaded replica, which restarts its idle timeout. */
  public void renew(Function function, Worker worker) {
    function.replicaAt(worker).queryStarted();
    function.commandStarted(worker);
    limitSends(worker);
    state.actions().load(worker.id, function.id);
  }

  /** Queries a worker for the replicas of a function that it has loaded. */
  public void queryReplicas(Function function, Worker worker) {
    function.replicaAt(worker).queryStarted();
    function.commandStarted(worker);
    state.actions().queryReplicas(worker.id, function.id);
  }

  /** Unloads a replica if this router commanded its load and its worker is ready. */
  public void unload(Function function, Worker worker) {
    Replica replica = function.findReplica(worker);
    if (replica != null && replica.unloadStarted(worker.isReady())) {
      state.actions().unload(worker.id, function.id);
    }
  }
}
