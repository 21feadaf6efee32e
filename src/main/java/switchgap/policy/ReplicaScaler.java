package switchgap.policy;

import static switchgap.policy.state.Durations.scale;

import java.time.Duration;
import switchgap.policy.state.Function;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Replica;
import switchgap.policy.state.Worker;

/**
 * Adjusts the target replica count of each function once a second. The target rises when the mean
 * concurrency per slot exceeds {@link #SCALE_UP_CONCURRENCY}; it falls when the concurrency has
 * stayed at or below {@link #SCALE_DOWN_CONCURRENCY} for an idle timeout. In between it stays
 * unchanged.
 */
final class ReplicaScaler {
  /** Mean concurrency per slot, as reported on arrival of attempts, above which to scale up. */
  private static final double SCALE_UP_CONCURRENCY = 0.25;

  /** Mean concurrency per slot at or below which a replica is surplus. */
  private static final double SCALE_DOWN_CONCURRENCY = 0.15;

  /** Slots of a replica beyond this number share the same cores and add no capacity. */
  private static final double MAX_COUNTED_SLOTS = 2;

  /** Number of reports below which the mean concurrency is not reliable. */
  private static final double MIN_REPORTS = 2;

  /** Replaces {@link #MIN_REPORTS} with many routers, as each sees few requests of a function. */
  private static final double MIN_REPORTS_MANY_ROUTERS = 0.5;

  /** Number of reports above which the counts are halved each second even with many routers. */
  private static final double MAX_REPORTS = 4;

  /** Maximum target replica count of a function, as a share of the ready workers. */
  private static final double MAX_REPLICA_SHARE = 0.5;

  /** Maximum memory of all target replicas, as a share of the memory of the ready workers. */
  private static final double MAX_MEMORY_SHARE = 0.5;

  /**
   * A function with saturated placements is overloaded if its recent arrivals are at most this many
   * times as many.
   */
  private static final int ARRIVALS_PER_SATURATED_PLACEMENT = 4;

  /** Number of requests from which on a function keeps one replica while it is idle. */
  private static final int MIN_REQUESTS_TO_KEEP_REPLICA = 2;

  /** Number of idle timeouts after which an idle function with a kept replica is released. */
  private static final double RELEASE_TIMEOUTS_WITH_REPLICA = 4;

  /** Number of idle timeouts after which any other idle function is released. */
  private static final double RELEASE_TIMEOUTS = 2;

  /** Age at which a kept replica is renewed, as a share of the idle timeout. */
  private static final double RENEWAL_AGE_SHARE = 0.6;

  private final PolicyState state;
  private final OutlierDetector outliers;
  private final ReplicaLoader loader;
  private final WorkerLeases leases;
  private final Duration idleTimeout;

  /**
   * Whether surplus replicas are unloaded by command. This requires a price of idle memory; without
   * one, idle replicas simply expire at the workers.
   */
  private final boolean unloadsSurplusReplicas;

  /**
   * Whether idle functions may keep one replica. This is restricted to cases in which it costs
   * little: no load quota, no price of idle memory, and few routers.
   */
  private final boolean keepsIdleReplicas;

  /** Memory of all target replicas of active functions. */
  private double plannedMemoryMb;

  /** Memory of the replicas that idle functions keep. */
  private double keptMemoryMb;

  ReplicaScaler(
      PolicyState state, OutlierDetector outliers, ReplicaLoader loader, WorkerLeases leases) {
    this.state = state;
    this.outliers = outliers;
    this.loader = loader;
    this.leases = leases;
    idleTimeout = state.settings.replicaIdleTimeout;
    boolean commandsAllowed = state.settings.loadCommandsAllowed;
    boolean idleMemoryPriced = state.settings.idleMemoryPrice > 0;
    unloadsSurplusReplicas = commandsAllowed && idleMemoryPriced;
    keepsIdleReplicas =
        commandsAllowed && !idleMemoryPriced && !state.settings.hasLoadQuota && state.ownShare == 1;
  }

  /** Records the concurrency that one replica reported, extrapolated to all target replicas. */
  void concurrencyReported(Function function, int concurrency) {
    double slots = Math.min(function.slots(), MAX_COUNTED_SLOTS);
    if (concurrency >= 0) {
      function.concurrency.add(concurrency / slots * function.targetReplicas());
    }
  }

  /** Whether one more replica of a function fits into the memory available for replicas. */
  boolean fitsMemory(Function function) {
    return plannedMemoryMb + function.memoryMb() <= MAX_MEMORY_SHARE * state.readyMemoryMb();
  }

  /**
   * Updates the target replica counts, renews or unloads replicas accordingly, and releases the
   * functions that have been idle for long.
   */
  void updateTargets() {
    planMemory();
    int maxReplicas = (int) Math.max(1, Math.ceil(state.readyWorkers() * MAX_REPLICA_SHARE));
    for (Function function : state.functions) {
      rescale(function, maxReplicas);
      boolean keepsReplica =
          keepsIdleReplicas && function.totalRequests() >= MIN_REQUESTS_TO_KEEP_REPLICA;
      if (keepsReplica) {
        keepOneReplica(function);
      }
      Duration releaseAfter =
          scale(idleTimeout, keepsReplica ? RELEASE_TIMEOUTS_WITH_REPLICA : RELEASE_TIMEOUTS);
      if (!state.isWithin(releaseAfter, function.lastRequest()) && function.isIdle()) {
        state.release(function);
      }
    }
  }

  private void planMemory() {
    plannedMemoryMb = 0;
    keptMemoryMb = 0;
    for (Function function : state.functions) {
      if (state.isWithin(idleTimeout, function.lastRequest())) {
        plannedMemoryMb += function.targetReplicas() * function.memoryMb();
      } else if (function.totalRequests() >= MIN_REQUESTS_TO_KEEP_REPLICA) {
        keptMemoryMb += function.memoryMb();
      }
    }
  }

  private void rescale(Function function, int maxReplicas) {
    double concurrency = meanConcurrency(function);
    boolean isOverloaded = isOverloaded(function, concurrency);
    if (isOverloaded || concurrency > SCALE_DOWN_CONCURRENCY) {
      function.markBusy(state.now());
    }
    if (isOverloaded && function.targetReplicas() < maxReplicas && fitsMemory(function)) {
      scaleUp(function, concurrency, maxReplicas);
    } else if (function.targetReplicas() > 1 && !state.isWithin(idleTimeout, function.lastBusy())) {
      scaleDown(function);
    }
    function.capTarget(maxReplicas);
    preloadMissingReplica(function);
    decayReports(function);
    function.restartArrivalCounts();
  }

  /**
   * Mean concurrency per slot of the target replicas; 0 if there are too few reports. With many
   * routers the mean includes a prior of 0 that weighs up to one report.
   */
  private double meanConcurrency(Function function) {
    double reports = function.concurrency.total();
    double mean = function.concurrency.sum() / (reports + 1 - state.ownShare);
    return reports >= MIN_REPORTS_MANY_ROUTERS ? mean / function.targetReplicas() : 0;
  }

  private boolean isOverloaded(Function function, double concurrency) {
    double minReports = state.ownShare < 1 ? MIN_REPORTS_MANY_ROUTERS : MIN_REPORTS;
    boolean hasEnoughReports = function.concurrency.total() >= minReports;
    int saturatedPlacements = function.saturatedPlacements();
    return (hasEnoughReports && concurrency > SCALE_UP_CONCURRENCY)
        || (saturatedPlacements > 0
            && saturatedPlacements * ARRIVALS_PER_SATURATED_PLACEMENT >= function.recentArrivals());
  }

  /**
   * Adds one replica or, with many routers, almost as many as the concurrency requires, because
   * each router gets few reports.
   */
  private void scaleUp(Function function, double concurrency, int maxReplicas) {
    int currentReplicas = function.targetReplicas();
    double requiredReplicas =
        Math.min(maxReplicas, currentReplicas * concurrency / SCALE_UP_CONCURRENCY);
    int addedReplicas =
        (int) Math.max(1, (requiredReplicas - currentReplicas) * (1 - state.ownShare));
    function.scaleUp(addedReplicas);
    plannedMemoryMb += addedReplicas * function.memoryMb();
  }

  private void scaleDown(Function function) {
    function.scaleDown(state.now());
    plannedMemoryMb -= function.memoryMb();
    if (unloadsSurplusReplicas) {
      unloadFirstSurplus(function);
    }
  }

  /** Unloads the first replica in hash order that is not a target replica. */
  private void unloadFirstSurplus(Function function) {
    int visited = 0;
    for (Worker worker : state.hashOrder(function)) {
      if (visited == function.targetReplicas()) {
        state.dispatcher.unload(function, worker);
        return;
      }
      visited++;
    }
  }

  /** Loads a missing target replica, unless the next request that finds none triggers the load. */
  private void preloadMissingReplica(Function function) {
    boolean preloads =
        state.settings.loadsOnDemand ? function.targetReplicas() > 1 : state.ownShare >= 1;
    if (function.recentArrivals() > 0 && preloads) {
      loader.loadFirstMissing(function);
    }
  }

  /**
   * Halves the report counts so that old reports fade. With many routers each gets few reports,
   * which are kept until the function is idle.
   */
  private void decayReports(Function function) {
    boolean isIdle =
        function.recentArrivals() == 0 && !state.isWithin(idleTimeout, function.lastRequest());
    if (state.ownShare == 1 || function.concurrency.total() > MAX_REPORTS || isIdle) {
      function.concurrency.halve();
    }
  }

  private void renew(Function function, Worker worker) {
    if (leases.maySendTo(worker)) {
      state.dispatcher.renew(function, worker);
    } else {
      leases.requestLease(worker); // the next periodic update renews the replica
    }
  }

  /** Renews the first replica of a function before it expires as idle, if memory allows. */
  private void keepOneReplica(Function function) {
    if (plannedMemoryMb + keptMemoryMb > MAX_MEMORY_SHARE * state.readyMemoryMb()) {
      return;
    }
    for (Worker worker : state.hashOrder(function)) {
      if (outliers.isEjected(worker) || leases.isUnavailable(worker)) {
        continue;
      }
      boolean isLoaded = state.replicaState(function, worker) == Replica.State.LOADED;
      Duration renewalAge = scale(idleTimeout, RENEWAL_AGE_SHARE);
      if (isLoaded
          && !function.isQueryPending(worker)
          && !state.isWithin(renewalAge, function.replicaAt(worker).lastUsed())) {
        renew(function, worker);
      }
      return;
    }
  }
}
