package switchgap.policy;

import static switchgap.policy.state.Durations.scale;

import java.time.Duration;
import switchgap.policy.state.Function;
import switchgap.policy.state.PolicyState;
import switchgap.policy.state.Replica;
import switchgap.policy.state.Worker;

/**
 * Sets functions' target replica counts once a second: up above the load threshold, down after an
 * idle timeout below the unload threshold. Between the two the target stays as it is.
 */
final class ReplicaScaler {
  private static final double LOAD_THRESHOLD = 0.25; // mean concurrency for each slot, on arrival
  private static final double UNLOAD_THRESHOLD = 0.15;
  private static final double MAX_COUNTED_SLOTS = 2; // further slots share the same cores
  private static final double MIN_REPORTS = 2; // below it the concurrency is not known
  private static final double MIN_REPORTS_OF_FEW = 0.5; // ... where this router sees few requests
  private static final double ENOUGH_REPORTS = 4; // above it halved each second in any case
  private static final double MAX_REPLICA_SHARE = 0.5; // of the ready workers
  private static final double MAX_MEMORY_SHARE = 0.5; // of the ready workers' memory
  private static final int SATURATED_ONE_IN = 4; // arrivals: so many saturated ones scale up
  private static final int MIN_REQUESTS_KEPT = 2; // of a function whose last replica is kept
  private static final double TIMEOUTS_KEPT = 4; // idle timeouts for which that replica is kept
  private static final double TIMEOUTS_KNOWN = 2; // idle timeouts until another is released
  private static final double RENEWAL_AGE = 0.6; // of an idle timeout, when a kept one is renewed

  private final PolicyState state;
  private final OutlierDetector outliers;
  private final ReplicaLoader loader;
  private final WorkerLeases leases;
  private final Duration idleTimeout;
  private final boolean unloads; // only where idle memory has a price; otherwise replicas expire
  private final boolean keepsReplica; // only where cheap: no quota, no memory price, few routers
  private double plannedMemoryMb; // of all target replicas of active functions
  private double keptMemoryMb; // of the kept replicas of idle functions

  ReplicaScaler(
      PolicyState state, OutlierDetector outliers, ReplicaLoader loader, WorkerLeases leases) {
    this.state = state;
    this.outliers = outliers;
    this.loader = loader;
    this.leases = leases;
    idleTimeout = state.settings.replicaIdleTimeout;
    boolean commands = state.settings.loadCommandsAllowed;
    boolean priced = state.settings.idleMemoryPrice > 0;
    unloads = commands && priced;
    keepsReplica = commands && !priced && !state.settings.hasLoadQuota && state.ownShare == 1;
  }

  /** Records the concurrency reported at one replica as the sum over all target replicas. */
  void concurrencyReported(Function function, int concurrency) {
    double slots = Math.min(function.slots(), MAX_COUNTED_SLOTS);
    if (concurrency >= 0) {
      function.concurrency.add(concurrency / slots * function.targetReplicas());
    }
  }

  /** Whether one more replica of a function fits the memory that replicas may take. */
  boolean fitsMemory(Function function) {
    return plannedMemoryMb + function.memoryMb() <= MAX_MEMORY_SHARE * state.readyMemoryMb();
  }

  void everySecond() {
    planMemory();
    int maxReplicas = (int) Math.max(1, Math.ceil(state.readyWorkers() * MAX_REPLICA_SHARE));
    for (Function function : state.functions) {
      rescale(function, maxReplicas);
      boolean keeps = keepsReplica && function.totalRequests() >= MIN_REQUESTS_KEPT;
      if (keeps) {
        keepOneReplica(function);
      }
      Duration known = scale(idleTimeout, keeps ? TIMEOUTS_KEPT : TIMEOUTS_KNOWN);
      if (!state.isWithin(known, function.lastRequest()) && function.isIdle()) {
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
      } else if (function.totalRequests() >= MIN_REQUESTS_KEPT) {
        keptMemoryMb += function.memoryMb();
      }
    }
  }

  private void rescale(Function function, int maxReplicas) {
    double concurrency = meanConcurrency(function);
    boolean overloaded = isOverloaded(function, concurrency);
    if (overloaded || concurrency > UNLOAD_THRESHOLD) {
      function.busy(state.now());
    }
    if (overloaded && function.targetReplicas() < maxReplicas && fitsMemory(function)) {
      scaleUp(function, concurrency, maxReplicas);
    } else if (function.targetReplicas() > 1 && !state.isWithin(idleTimeout, function.lastBusy())) {
      scaleDown(function);
    }
    function.limitTarget(maxReplicas);
    loadAhead(function);
    ageReports(function);
    function.restartArrivalCounts();
  }

  /** Concurrency for each slot of a target replica; 0 without reports. */
  private double meanConcurrency(Function function) {
    double reports = function.concurrency.total();
    double mean = function.concurrency.sum() / (reports + 1 - state.ownShare);
    return reports >= MIN_REPORTS_OF_FEW ? mean / function.targetReplicas() : 0;
  }

  private boolean isOverloaded(Function function, double concurrency) {
    double minReports = state.ownShare < 1 ? MIN_REPORTS_OF_FEW : MIN_REPORTS;
    boolean reported = function.concurrency.total() >= minReports;
    int saturated = function.saturatedArrivals();
    return (reported && concurrency > LOAD_THRESHOLD)
        || (saturated > 0 && saturated * SATURATED_ONE_IN >= function.recentArrivals());
  }

  /** Adds one replica or, with many routers, nearly all that the concurrency requires. */
  private void scaleUp(Function function, double concurrency, int maxReplicas) {
    int target = function.targetReplicas();
    double wanted = Math.min(maxReplicas, target * concurrency / LOAD_THRESHOLD);
    int steps = (int) Math.max(1, (wanted - target) * (1 - state.ownShare));
    function.scaleUp(steps);
    plannedMemoryMb += steps * function.memoryMb();
  }

  private void scaleDown(Function function) {
    function.scaleDown(state.now());
    plannedMemoryMb -= function.memoryMb();
    Worker[] order = state.hashOrder(function);
    if (unloads && function.targetReplicas() < order.length) {
      state.dispatcher.unload(function, order[function.targetReplicas()]);
    }
  }

  /** Loads a missing target replica, unless a request that finds none will cause the load. */
  private void loadAhead(Function function) {
    boolean loadsAhead =
        state.settings.loadsOnDemand ? function.targetReplicas() > 1 : state.ownShare >= 1;
    if (function.recentArrivals() > 0 && loadsAhead) {
      loader.loadFirstMissing(function);
    }
  }

  /** Halves the reports; the few that one of many routers gets last until the function is idle. */
  private void ageReports(Function function) {
    boolean unused =
        function.recentArrivals() == 0 && !state.isWithin(idleTimeout, function.lastRequest());
    if (state.ownShare == 1 || function.concurrency.total() > ENOUGH_REPORTS || unused) {
      function.concurrency.halve();
    }
  }

  private void renew(Function function, Worker worker) {
    if (leases.holds(worker)) {
      state.dispatcher.renew(function, worker);
    } else {
      leases.acquire(worker); // it is renewed in the next second
    }
  }

  /** Renews the first replica of an idle function before its idle timeout, if the memory allows. */
  private void keepOneReplica(Function function) {
    if (plannedMemoryMb + keptMemoryMb > MAX_MEMORY_SHARE * state.readyMemoryMb()) {
      return;
    }
    for (Worker worker : state.hashOrder(function)) {
      if (outliers.isEjected(worker) || leases.isUnavailable(worker)) {
        continue;
      }
      boolean loaded = state.replicaState(function, worker) == Replica.State.LOADED;
      Replica replica = function.replicaAt(worker);
      Duration renewalAge = scale(idleTimeout, RENEWAL_AGE);
      if (loaded && !replica.isQueryPending() && !state.isWithin(renewalAge, replica.lastUsed())) {
        renew(function, worker);
      }
      return;
    }
  }
}
