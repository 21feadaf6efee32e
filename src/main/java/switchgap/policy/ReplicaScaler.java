package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import switchgap.policy.state.*;

/**
 * Sets functions' target replica counts: up past the load mark, down some time below the unload
 * mark.
 */
final class ReplicaScaler {
  private static final double LOAD_MARK = 0.25; // mean concurrency a slot at arrival: above it up
  private static final double UNLOAD_MARK = 0.15; // ... and below it down
  private static final double MAX_COUNTED_SLOTS = 2; // more than cores only share the cores
  private static final double ENOUGH_REPORTS = 4; // tell of the concurrency; more: halved
  private static final double MAX_REPLICA_SHARE = 0.5; // of the ready workers
  private static final double MAX_MEMORY_SHARE = 0.5; // of the ready workers' memory
  private static final int SATURATED_ONE_IN = 4; // arrivals that met only saturated replicas: up
  private static final double TIMEOUTS_KEPT = 4; // idle: so long the one replica is kept
  private static final double TIMEOUTS_KNOWN = 2; // idle: so long any other function is known
  private static final double RENEWAL_AGE = 0.6; // of an idle timeout: then a replica is kept anew

  private final PolicyState state;
  private final OutlierDetector outliers;
  private final ReplicaLoader loader;
  private final Duration idleTimeout;
  private final boolean unloads; // only where idle memory is priced; else replicas expire
  private final boolean
      keepsReplica; // only where that costs little: no quota, no price, few routers
  private double plannedMemoryMb; // what the replicas at their targets take
  private double keptMemoryMb; // of functions idle for a timeout whose replica is kept

  ReplicaScaler(PolicyState state, OutlierDetector outliers, ReplicaLoader loader) {
    this.state = state;
    this.outliers = outliers;
    this.loader = loader;
    idleTimeout = state.settings.replicaIdleTimeout;
    boolean priced = state.settings.idleMemoryPrice > 0;
    unloads = priced && state.settings.loadCommandsAllowed;
    keepsReplica =
        state.settings.loadCommandsAllowed
            && state.settings.idleMemoryPrice == 0
            && !state.settings.hasLoadQuota
            && state.ownShare == 1;
  }

  /**
   * Concurrency met at a replica, as the sum over all target replicas: it stays true as they
   * change.
   */
  void concurrencyMet(Function function, int concurrency) {
    double slots = Math.min(function.slots, MAX_COUNTED_SLOTS);
    if (concurrency >= 0) {
      function.concurrency.add(concurrency / slots * function.targetReplicas);
    }
  }

  boolean fitsMemory(Function function) {
    return plannedMemoryMb + function.memoryMb <= MAX_MEMORY_SHARE * state.readyMemoryMb;
  }

  void everySecond() {
    plannedMemoryMb = 0;
    keptMemoryMb = 0;
    for (Function function : state.functions) {
      boolean active = state.isWithin(idleTimeout, function.lastRequest);
      plannedMemoryMb += active ? function.targetReplicas * function.memoryMb : 0;
      keptMemoryMb += active || function.totalRequests < 2 ? 0 : function.memoryMb;
    }
    int maxReplicas = (int) Math.max(1, Math.ceil(state.readyWorkers * MAX_REPLICA_SHARE));
    for (Function function : state.functions) {
      rescale(function, maxReplicas);
      if (keepsReplica) {
        keepOneReplica(function);
      }
      double timeouts = keepsReplica && function.totalRequests > 1 ? TIMEOUTS_KEPT : TIMEOUTS_KNOWN;
      boolean known = state.isWithin(scale(idleTimeout, timeouts), function.lastRequest);
      if (!known && function.isIdle()) {
        state.release(function);
      }
    }
  }

  private void rescale(Function function, int maxReplicas) {
    double reports = function.concurrency.total();
    double mean = function.concurrency.sum() / (reports + 1 - state.ownShare);
    double concurrency = reports >= 0.5 ? mean / function.targetReplicas : 0;
    boolean reported = reports >= (state.ownShare < 1 ? 0.5 : 2);
    boolean saturated =
        function.saturatedArrivals > 0
            && function.saturatedArrivals * SATURATED_ONE_IN >= function.recentArrivals;
    boolean overloaded = (reported && concurrency > LOAD_MARK) || saturated;
    if (overloaded || concurrency > UNLOAD_MARK) {
      function.lastBusy = state.now;
    }
    if (overloaded && function.targetReplicas < maxReplicas && fitsMemory(function)) {
      double wanted = Math.min(maxReplicas, function.targetReplicas * concurrency / LOAD_MARK);
      // One replica more, or where routers are many the whole way at once.
      int steps = (int) Math.max(1, (wanted - function.targetReplicas) * (1 - state.ownShare));
      function.targetReplicas += steps;
      plannedMemoryMb += steps * function.memoryMb;
    } else if (function.targetReplicas > 1 && !state.isWithin(idleTimeout, function.lastBusy)) {
      scaleDown(function);
    }
    function.targetReplicas = Math.min(function.targetReplicas, Math.max(1, maxReplicas));
    // Where routers are many and loads not on demand, a request that finds no replica tells of it.
    boolean loadsAhead =
        state.settings.loadsOnDemand ? function.targetReplicas > 1 : state.ownShare >= 1;
    if (function.recentArrivals > 0 && loadsAhead) {
      loader.loadFirstMissing(function);
    }
    // Who hears of a function once in some seconds keeps what it heard for as long as replicas
    // live.
    boolean unused =
        function.recentArrivals == 0 && !state.isWithin(idleTimeout, function.lastRequest);
    if (state.ownShare == 1 || reports > ENOUGH_REPORTS || unused) {
      function.concurrency.halve();
    }
    function.recentArrivals = 0;
    function.saturatedArrivals = 0;
  }

  private void scaleDown(Function function) {
    function.targetReplicas--;
    plannedMemoryMb -= function.memoryMb;
    function.lastBusy = state.now;
    Worker[] order = state.hashOrder(function);
    if (!unloads || function.targetReplicas >= order.length) {
      return;
    }
    Worker last = order[function.targetReplicas];
    boolean commanded = function.replicaAt(last).unloadStarted(last.isReady());
    if (commanded) {
      state.actions.unload(last.id, function.id);
    }
  }

  /**
   * The first replica stays for some idle timeouts after the last request: its idle time begins
   * anew.
   */
  private void keepOneReplica(Function function) {
    boolean fits = plannedMemoryMb + keptMemoryMb <= MAX_MEMORY_SHARE * state.readyMemoryMb;
    if (function.totalRequests < 2 || !fits) {
      return;
    } // of one-off functions no replica is kept
    for (Worker worker : state.hashOrder(function)) {
      if (outliers.isEjected(worker)) {
        continue;
      }
      Replica replica = function.replicaAt(worker);
      boolean loaded = state.replicaState(function, worker) == Replica.State.LOADED;
      boolean old = loaded && !state.isWithin(scale(idleTimeout, RENEWAL_AGE), replica.lastUsed);
      if (old && !replica.queryPending) {
        loader.renew(function, worker);
      }
      return;
    }
  }
}
