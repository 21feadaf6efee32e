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
 * Rule 5: sends load commands, within the load quota and within the pace of the store that replicas
 * come from. The limit of commands in flight follows additive increase, multiplicative decrease.
 */
final class ReplicaLoader {
  private static final int QUICK_LOADS = 3; // in an idle timeout; a slower load halves the limit
  private static final int MAX_FAILED_LOADS = 1; // of a function never loaded, in quick succession

  private final PolicyState state;
  private final OutlierDetector outliers;
  private final WorkerLeases leases;
  private int pendingLoads;
  private double maxPendingLoads; // 0 before the first endpoint list

  ReplicaLoader(PolicyState state, OutlierDetector outliers, WorkerLeases leases) {
    this.state = state;
    this.outliers = outliers;
    this.leases = leases;
  }

  void endpointListEnded() {
    double fairShare = 1 + (double) state.readyWorkers() / state.settings.routerCount;
    maxPendingLoads = maxPendingLoads == 0 ? fairShare : maxPendingLoads;
  }

  /** Sends a load command if one is allowed now; returns whether it did. */
  boolean load(Function function, Worker worker) {
    Replica replica = function.replicaAt(worker);
    if (!state.settings.loadCommandsAllowed
        || !worker.isReady()
        || outliers.isEjected(worker)
        || replica.isLoadPending()
        || wasRejectedLately(replica)
        || failsEverywhere(function)
        || pendingLoads >= Math.max(1, maxPendingLoads)
        || isQuotaUsedUp()) {
      return false;
    }
    if (!leases.holds(worker)) {
      leases.acquire(worker);
      return false;
    }
    pendingLoads++;
    state.dispatcher.load(function, worker);
    return true;
  }

  /** Whether a function that may not exist failed to load more than once within the last second. */
  private boolean failsEverywhere(Function function) {
    return !function.everLoaded()
        && function.failedLoads() > MAX_FAILED_LOADS
        && state.isWithin(SECOND, function.lastLoadFailure());
  }

  private boolean isQuotaUsedUp() {
    double earned = state.settings.loadQuotaPerRequest * state.loadQuota.requests(state.now());
    return state.settings.hasLoadQuota
        && state.loadQuota.commands(state.now()) + 1 > state.settings.loadQuotaBase + earned;
  }

  /** Whether the worker has no memory, or drains and the endpoint list does not say so yet. */
  private boolean wasRejectedLately(Replica replica) {
    return replica.loadRejectedAt() != null && state.isWithin(SECOND, replica.loadRejectedAt());
  }

  /** Loads the first missing target replica; one of many routers first queries it, quota-free. */
  void loadFirstMissing(Function function) {
    boolean queries = state.ownShare < 1 && state.settings.loadCommandsAllowed;
    int visited = 0;
    for (Worker worker : state.hashOrder(function)) {
      Replica replica = function.replicaAt(worker);
      if (outliers.isEjected(worker)
          || leases.isUnavailable(worker)
          || wasRejectedLately(replica)) {
        continue;
      }
      if (visited++ >= function.targetReplicas()) {
        return;
      }
      Replica.State believed = state.replicaState(function, worker);
      if (replica.isQueryPending() || believed == Replica.State.LOADED) {
        continue;
      }
      if (queries && believed == Replica.State.UNKNOWN) {
        state.dispatcher.queryReplicas(function, worker);
        return;
      }
      if (load(function, worker)) {
        return;
      }
    }
  }

  /** Learns from an attempt whether its worker has the replica; loads it if not. */
  void attemptEnded(Function function, Worker worker, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.SUCCEEDED) {
      function.attemptSucceeded(worker, state.now());
    } else if (outcome == AttemptOutcome.NOT_LOADED) {
      function.replicaAt(worker).reportedAbsent();
      load(function, worker);
    }
  }

  /** A load command, query or renewal ended; a query's end comes before that of a later load. */
  void loadCommandEnded(Function function, Worker worker, LoadCommandResult result) {
    AttemptOutcome outcome = result.outcome();
    int loaded = result.loadedReplicas();
    boolean rejected = loaded == 0 && outcome == AttemptOutcome.REJECTED;
    Replica replica = function.replicaAt(worker);
    function.commandEnded(worker);
    if (replica.isQueryPending()) {
      replica.queryEnded(loaded, rejected, state.now());
      return;
    }
    replica.loadEnded(loaded, rejected, state.now());
    adaptPace(function, result);
    if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.CONNECTION_LOST) {
      outliers.failedSurely(worker);
    }
  }

  /** A function never loaded may not exist: its failures say nothing of the store's pace. */
  private void adaptPace(Function function, LoadCommandResult result) {
    pendingLoads--;
    if (result.loadedReplicas() > 0) {
      function.loaded();
    }
    if (result.outcome() == AttemptOutcome.FAILED && !function.everLoaded()) {
      function.loadFailed(state.now());
      return;
    }
    Duration slow = state.settings.replicaIdleTimeout.dividedBy(QUICK_LOADS);
    boolean quick = isShorter(result.duration(), slow);
    if (result.outcome() == AttemptOutcome.SUCCEEDED && quick) {
      maxPendingLoads += 1 / maxPendingLoads;
    } else {
      maxPendingLoads = Math.max(1, maxPendingLoads / 2);
    }
  }
}
