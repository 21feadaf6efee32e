package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import switchgap.policy.api.*;
import switchgap.policy.state.*;

/**
 * Rule 5: commands replicas to be loaded, within the load quota and the pace of the store they come
 * from.
 */
final class ReplicaLoader {
  private static final int QUICK_LOADS =
      3; // in a replica idle timeout; a slower load halves the pace

  private final PolicyState state;
  private final OutlierDetector outliers;
  private int pendingLoads;
  private double maxPendingLoads; // 0 before the first list; additive increase, halved on failure

  ReplicaLoader(PolicyState state, OutlierDetector outliers) {
    this.state = state;
    this.outliers = outliers;
  }

  void endpointListEnded() {
    double fairPace = 1 + (double) state.readyWorkers / state.settings.routerCount;
    maxPendingLoads = maxPendingLoads == 0 ? fairPace : maxPendingLoads;
  }

  /** Commands a load if that is allowed now, and tells whether it did. */
  boolean load(Function function, Worker worker) {
    Replica replica = function.replicaAt(worker);
    boolean failsEverywhere =
        !function.everLoaded
            && function.failedLoads > 1
            && state.isWithin(SECOND, function.lastLoadFailure);
    if (!state.settings.loadCommandsAllowed
        || !worker.isReady()
        || outliers.isEjected(worker)
        || replica.loadPending
        || wasRefusedLately(replica)
        || failsEverywhere
        || pendingLoads >= Math.max(1, maxPendingLoads)
        || isQuotaUsedUp()) {
      return false;
    }
    state.loadQuota.commandStarted(state.now);
    replica.loadStarted(state.now);
    pendingLoads++;
    function.commandStarted(worker);
    state.actions.load(worker.id, function.id);
    return true;
  }

  private boolean isQuotaUsedUp() {
    double earned = state.settings.loadQuotaPerRequest * state.loadQuota.requests(state.now);
    return state.settings.hasLoadQuota
        && state.loadQuota.commands(state.now) + 1 > state.settings.loadQuotaBase + earned;
  }

  /** No memory a moment ago, or it drains and the list is late: the next in order is asked. */
  private boolean wasRefusedLately(Replica replica) {
    return replica.loadRefusedAt != null && state.isWithin(SECOND, replica.loadRefusedAt);
  }

  /**
   * Loads the first of the target replicas that is missing; with many routers it is asked for
   * first.
   */
  void loadFirstMissing(Function function) {
    int visited = 0;
    for (Worker worker : state.hashOrder(function)) {
      Replica replica = function.replicaAt(worker);
      if (outliers.isEjected(worker) || wasRefusedLately(replica)) {
        continue;
      }
      if (visited++ >= function.targetReplicas) {
        return;
      }
      boolean unknown = state.replicaState(function, worker) == Replica.State.UNKNOWN;
      boolean queries = state.ownShare < 1 && state.settings.loadCommandsAllowed;
      if (queries && unknown && !replica.queryPending) {
        replica.queryPending = true; // takes nothing of the quota
        function.commandStarted(worker);
        state.actions.queryReplicas(worker.id, function.id);
        return;
      }
      boolean missing = !replica.queryPending && replica.state != Replica.State.LOADED;
      if (missing && load(function, worker)) {
        return;
      }
    }
  }

  /**
   * Has a loaded replica kept: what is believed of it stays, as with a query, until that is
   * answered.
   */
  void renew(Function function, Worker worker) {
    function.replicaAt(worker).queryPending = true;
    function.commandStarted(worker);
    state.actions.load(worker.id, function.id);
  }

  void attemptEnded(Function function, Worker worker, AttemptOutcome outcome) {
    Replica replica = function.replicaAt(worker);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      function.attemptSucceeded(worker, state.now);
    } else if (outcome == AttemptOutcome.NOT_LOADED) {
      if (replica.state != Replica.State.LOADING) {
        replica.state = Replica.State.ABSENT;
      }
      load(function, worker);
    }
  }

  void loadCommandEnded(Function function, Worker worker, LoadCommandResult result) {
    AttemptOutcome outcome = result.outcome();
    Replica replica = function.replicaAt(worker);
    function.commandEnded(worker);
    boolean query = replica.queryPending; // its answer comes first: it went out before any load
    replica.queryPending = false;
    replica.lastUsed = state.now;
    boolean refused = result.loadedReplicas() == 0 && outcome == AttemptOutcome.REJECTED;
    if (replica.state == (query ? Replica.State.UNKNOWN : Replica.State.LOADING)
        || (query && refused)) {
      replica.state = result.loadedReplicas() > 0 ? Replica.State.LOADED : Replica.State.ABSENT;
    }
    if (query) {
      return;
    }
    replica.loadPending = false; // whatever is believed by now: or it stays counted for ever
    replica.loadRefusedAt = refused ? state.now : null;
    learnPace(function, result);
    boolean lost =
        outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.CONNECTION_LOST;
    if (lost) {
      outliers.failed(worker, true);
    }
  }

  /** Of what was never loaded a failure may be nobody's, and is no sign of the store. */
  private void learnPace(Function function, LoadCommandResult result) {
    pendingLoads--;
    function.everLoaded |= result.loadedReplicas() > 0;
    boolean nobodys = result.outcome() == AttemptOutcome.FAILED && !function.everLoaded;
    if (nobodys) {
      function.loadFailed(state.now);
    }
    Duration slow = state.settings.replicaIdleTimeout.dividedBy(QUICK_LOADS);
    boolean quick = isShorter(result.duration(), slow);
    if (result.outcome() == AttemptOutcome.SUCCEEDED && quick) {
      maxPendingLoads += 1 / maxPendingLoads;
    } else if (!nobodys) {
      maxPendingLoads = Math.max(1, maxPendingLoads / 2);
    }
  }
}
