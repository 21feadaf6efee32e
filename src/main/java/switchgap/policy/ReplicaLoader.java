package switchgap.policy;

import static switchgap.policy.state.Durations.SECOND;
import static switchgap.policy.state.Durations.isShorter;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.state.Function;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Replica;
import switchgap.policy.state.Worker;

/**
 * Sends load commands within the load quota. Limits the commands in flight by additive increase,
 * multiplicative decrease (AIMD), to adapt to the throughput of the store that replicas come from.
 */
final class ReplicaLoader {
  /** A load halves the limit unless it takes less than the idle timeout divided by this. */
  private static final int QUICK_LOADS_PER_IDLE_TIMEOUT = 3;

  /** Failed loads above which a function that was never loaded is not loaded for one second. */
  private static final int MAX_FAILED_LOADS = 1;

  private final PolicyState state;
  private final OutlierDetector outliers;
  private final WorkerLeases leases;
  private int pendingLoads;

  /** 0 before the first endpoint list. */
  private double maxPendingLoads;

  ReplicaLoader(PolicyState state, OutlierDetector outliers, WorkerLeases leases) {
    this.state = state;
    this.outliers = outliers;
    this.leases = leases;
  }

  void endpointListEnded() {
    double fairShare = 1 + (double) state.readyWorkers() / state.settings.routerCount;
    maxPendingLoads = maxPendingLoads == 0 ? fairShare : maxPendingLoads;
  }

  /** Sends a load command if one is allowed now; returns whether it was sent. */
  boolean load(Function function, Worker worker) {
    if (!state.settings.loadCommandsAllowed
        || !worker.isReady()
        || outliers.isEjected(worker)
        || function.isLoadPending(worker)
        || wasRejectedRecently(function, worker)
        || isProbablyMissing(function)
        || pendingLoads >= Math.max(1, maxPendingLoads)
        || isQuotaUsedUp()) {
      return false;
    }
    if (!leases.maySendTo(worker)) {
      leases.requestLease(worker);
      return false;
    }
    pendingLoads++;
    state.dispatcher.load(function, worker);
    return true;
  }

  /** Whether a function that may not exist has failed to load repeatedly, last within a second. */
  private boolean isProbablyMissing(Function function) {
    return !function.everLoaded()
        && function.failedLoads() > MAX_FAILED_LOADS
        && state.isWithin(SECOND, function.lastLoadFailure());
  }

  private boolean isQuotaUsedUp() {
    double requestAllowance =
        state.settings.loadQuotaPerRequest * state.loadQuota.requests(state.now());
    return state.settings.hasLoadQuota
        && state.loadQuota.commands(state.now()) + 1
            > state.settings.loadQuotaBase + requestAllowance;
  }

  /**
   * Whether the worker rejected a load within the last second: it is out of memory, or it is
   * draining and the endpoint list does not report that yet.
   */
  private boolean wasRejectedRecently(Function function, Worker worker) {
    Replica replica = function.findReplica(worker);
    return replica != null
        && replica.loadRejectedAt() != null
        && state.isWithin(SECOND, replica.loadRejectedAt());
  }

  /**
   * Loads the first missing target replica. With many routers, another one may have loaded it: then
   * first queries the worker, which does not count against the load quota.
   */
  void loadFirstMissing(Function function) {
    boolean queriesFirst = state.ownShare < 1 && state.settings.loadCommandsAllowed;
    int visited = 0;
    for (Worker worker : state.hashOrder(function)) {
      if (outliers.isEjected(worker)
          || leases.isUnavailable(worker)
          || wasRejectedRecently(function, worker)) {
        continue;
      }
      if (visited++ >= function.targetReplicas()) {
        return;
      }
      Replica.State presumedState = state.replicaState(function, worker);
      if (function.isQueryPending(worker) || presumedState == Replica.State.LOADED) {
        continue;
      }
      if (queriesFirst && presumedState == Replica.State.UNKNOWN) {
        state.dispatcher.queryReplicas(function, worker);
        return;
      }
      if (load(function, worker)) {
        return;
      }
    }
  }

  /**
   * Updates the replica state from the outcome of an attempt; loads the replica if it is missing.
   */
  void attemptEnded(Function function, Worker worker, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.SUCCEEDED) {
      function.attemptSucceeded(worker, state.now());
    } else if (outcome == AttemptOutcome.NOT_LOADED) {
      function.replicaAt(worker).markAbsent();
      load(function, worker);
    }
  }

  /**
   * Handles the end of a load command, replica query or renewal. If a query and a later load are in
   * flight for the same replica, the query ends first.
   */
  void loadCommandEnded(Function function, Worker worker, LoadCommandResult result) {
    AttemptOutcome outcome = result.outcome();
    int loadedReplicas = result.loadedReplicas();
    boolean isRejected = loadedReplicas == 0 && outcome == AttemptOutcome.REJECTED;
    Replica replica = function.replicaAt(worker);
    function.commandEnded(worker);
    if (replica.isQueryPending()) {
      replica.queryEnded(loadedReplicas, isRejected, state.now());
      return;
    }
    replica.loadEnded(loadedReplicas, isRejected, state.now());
    adaptLimit(function, result);
    if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.CONNECTION_LOST) {
      outliers.recordFault(worker);
    }
  }

  /**
   * Adapts the limit of loads in flight. Ignores failures of a function that was never loaded: it
   * may not exist, so they say nothing about the store's throughput.
   */
  private void adaptLimit(Function function, LoadCommandResult result) {
    pendingLoads--;
    if (result.loadedReplicas() > 0) {
      function.markLoaded();
    }
    if (result.outcome() == AttemptOutcome.FAILED && !function.everLoaded()) {
      function.loadFailed(state.now());
      return;
    }
    Duration maxQuickDuration =
        state.settings.replicaIdleTimeout.dividedBy(QUICK_LOADS_PER_IDLE_TIMEOUT);
    boolean isQuick = isShorter(result.duration(), maxQuickDuration);
    if (result.outcome() == AttemptOutcome.SUCCEEDED && isQuick) {
      maxPendingLoads += 1 / maxPendingLoads;
    } else {
      maxPendingLoads = Math.max(1, maxPendingLoads / 2);
    }
  }
}
