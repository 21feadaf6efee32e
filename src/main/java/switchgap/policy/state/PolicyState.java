package switchgap.policy.state;

import java.time.Duration;
import java.util.SplittableRandom;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.RequestArrival;

/**
 * The state that the classes of one router's policy share: settings, tables of workers, functions
 * and requests, and the time and actions of the current tick. Not thread-safe: a single thread
 * calls the policy.
 */
public final class PolicyState {
  /** Bound of the workers in all cached hash orders. */
  private static final int MAX_CACHED_WORKERS = 1 << 18;

  public final SettingsSnapshot settings;
  public final SplittableRandom random;
  public final IndexedTable<Worker> workers = new IndexedTable<>();
  public final IndexedTable<Function> functions = new IndexedTable<>();
  public final IndexedTable<Request> requests = new IndexedTable<>();
  public final FleetStatistics fleet;
  public final TenantUsage tenants;
  public final LoadQuotaUsage loadQuota;
  private final HashOrderCache hashOrders = new HashOrderCache(workers, MAX_CACHED_WORKERS);

  /**
   * This router's equal share of a worker's default capacity, in requests and at most 1. It is 1
   * with few routers and below 1 with many.
   */
  public final double ownShare;

  /** The deadline margin while timers are punctual. */
  public final Duration minDeadlineMargin;

  /** Carries out decisions in the current tick. */
  public final ActionDispatcher dispatcher = new ActionDispatcher(this);

  private Duration deadlineMargin;
  private PolicyActions actions;
  private Duration now = Duration.ZERO;
  private long seconds;
  private int readyWorkers;
  private double readyMemoryMb;
  private final HistogramEdges edges;

  private final EndpointListConfirmation listConfirmation = new EndpointListConfirmation();
  private boolean listComplete;

  /** Number of events so far that created a function or restarted a worker. */
  private long eventNumber;

  /** Creates empty tables and a random number generator with this seed. */
  public PolicyState(
      SettingsSnapshot settings,
      HistogramEdges edges,
      long seed,
      double ownShare,
      Duration minDeadlineMargin) {
    this.settings = settings;
    this.edges = edges;
    this.random = new SplittableRandom(seed);
    this.fleet = new FleetStatistics(edges);
    this.tenants = new TenantUsage(settings.tenantQuotas);
    this.loadQuota = new LoadQuotaUsage(settings, minDeadlineMargin);
    this.ownShare = ownShare;
    this.minDeadlineMargin = minDeadlineMargin;
    this.deadlineMargin = minDeadlineMargin;
  }

  /** Sets the time of a new tick and the receiver of its decisions. */
  public void beginTick(Duration tickTime, PolicyActions tickActions) {
    now = tickTime;
    actions = tickActions;
  }

  /** Time of the current tick since the router's start. */
  public Duration now() {
    return now;
  }

  PolicyActions actions() {
    return actions;
  }

  /** Time before the deadline of a request by which all its attempts have to end. */
  public Duration deadlineMargin() {
    return deadlineMargin;
  }

  /** Sets the margin for attempts that start from now on. */
  public void setDeadlineMargin(Duration margin) {
    deadlineMargin = margin;
  }

  /** Number of periodic updates so far; there is one per second. */
  public long seconds() {
    return seconds;
  }

  /** Number of ready workers, as of the last endpoint list. */
  public int readyWorkers() {
    return readyWorkers;
  }

  /** Memory of all ready workers in MB, as of the last endpoint list. */
  public double readyMemoryMb() {
    return readyMemoryMb;
  }

  /**
   * Starts a periodic update: counts it, halves the request counts of the tenants and drops old
   * requests from those of the load quota.
   */
  public void decayRequestCounts() {
    seconds++;
    loadQuota.prune(now);
    tenants.halve();
  }

  /** Whether a time is not in the future. */
  public boolean hasPassed(Duration time) {
    return now.compareTo(time) >= 0;
  }

  /** Whether less time than {@code span} has passed since a time. */
  public boolean isWithin(Duration span, Duration since) {
    return now.minus(since).compareTo(span) < 0;
  }

  /** Whether a worker's process started less than the warm-up duration ago. */
  public boolean isWarmingUp(Worker worker) {
    return worker.startedAt() != null && isWithin(settings.warmUpDuration, worker.startedAt());
  }

  /** Sets the time until which the endpoint list is confirmed. */
  public void endpointListConfirmedUntil(Duration time) {
    listConfirmation.confirmUntil(time, now);
  }

  /** Since when the endpoint list is unconfirmed; undefined while it is confirmed. */
  public Duration listUnconfirmedSince() {
    return listConfirmation.unconfirmedSince();
  }

  /** Whether changes of the endpoint list may be in effect that have not been received. */
  public boolean isListUnconfirmed() {
    return listConfirmation.isUnconfirmed(now);
  }

  /** Whether sends to a worker require a lease, since the endpoint list may be out of date. */
  public boolean requiresLeases() {
    return isListUnconfirmed() && settings.probesAllowed;
  }

  /** When a worker's lease ends, after which nothing may be written to it; null for no limit. */
  Duration sendLimit(Worker worker) {
    return requiresLeases() ? worker.lease.expiresAt() : null;
  }

  /** All ready workers in the function's hash order, which is the same at all routers. */
  public Iterable<Worker> hashOrder(Function function) {
    return hashOrders.order(function);
  }

  /** The presumed state of a replica; unknown once the worker may have unloaded it as idle. */
  public Replica.State replicaState(Function function, Worker worker) {
    Replica replica = function.findReplica(worker);
    if (replica == null && !worker.isPresumedEmpty()) {
      return function.initialStateAt(worker);
    }
    // At a worker that is presumed empty, the state stays as it is once the worker has warmed up.
    replica = function.replicaAt(worker);
    if (replica.state() == Replica.State.LOADED
        && !isWithin(settings.replicaIdleTimeout, replica.lastUsed())) {
      replica.markExpired();
    }
    return replica.state();
  }

  /** Adds a request that arrived, and its function if it is new. */
  public Request add(RequestArrival arrival) {
    Function function = functions.get(arrival.function());
    if (function == null) {
      function = functions.set(arrival.function(), newFunction(arrival));
    }
    function.requestArrived(arrival, now);
    tenants.count(arrival.tenant());
    loadQuota.requestArrived(now);
    RequestClass requestClass = settings.requestClasses[arrival.requestClass()];
    return requests.set(arrival.request(), new Request(arrival, requestClass, function, now));
  }

  private Function newFunction(RequestArrival arrival) {
    eventNumber++;
    return new Function(
        arrival.function(), arrival.functionHash(), edges.concurrency(), now, eventNumber);
  }

  /** Closes a request that has its final response or whose client disconnected. */
  public void close(Request request) {
    request.close();
  }

  /** Releases a request that is closed and has no attempt in flight. */
  public void releaseIfSettled(Request request) {
    if (request.isClosed() && request.inFlight() == 0 && requests.get(request.id) == request) {
      requests.set(request.id, null);
      request.function.requestReleased();
      actions.releaseRequest(request.id);
    }
  }

  /** Removes a function and releases its index. */
  public void release(Function function) {
    hashOrders.remove(function);
    functions.set(function.id, null);
    actions.releaseFunction(function.id);
  }

  /** Handles the start of an endpoint list; a complete one names all workers. */
  public void endpointListStarted(boolean complete) {
    listComplete = complete;
    workers.forEach(Worker::listStarted);
  }

  /**
   * Applies one entry of the endpoint list. A worker whose process has restarted has no replicas
   * and is warming up.
   */
  public void endpointListed(EndpointEntry entry) {
    Worker worker = workers.get(entry.worker());
    if (worker == null) {
      worker = workers.set(entry.worker(), new Worker(entry, edges));
      worker.setPresumedEmpty(isWarmingUp(worker));
    } else if (entry.startedAt() != null && worker.start().isNewProcess(entry.startedAt())) {
      worker.start().listed(entry.startedAt());
      workerRestarted(worker);
    }
    double[] memory = settings.workerKindMemory;
    double memoryMb = entry.kind() < memory.length ? memory[entry.kind()] : 0;
    boolean hasComparableCapacity = settings.capacityReported && entry.capacity() > 0;
    worker.update(
        entry, memoryMb, hasComparableCapacity ? entry.capacity() : Math.max(1, memoryMb));
  }

  /** Presumes that a worker's process restarted, while the endpoint list cannot report it. */
  public void presumeRestarted(Worker worker, Duration processStart) {
    worker.start().presume(processStart);
    workerRestarted(worker);
  }

  private void workerRestarted(Worker worker) {
    eventNumber++;
    worker.restarted(eventNumber);
    worker.setPresumedEmpty(isWarmingUp(worker));
    functions.forEach(function -> function.workerRestarted(worker));
  }

  /**
   * Handles the end of an endpoint list: releases workers that are gone and idle, and counts the
   * ready ones.
   */
  public void endpointListEnded() {
    readyWorkers = 0;
    readyMemoryMb = 0;
    for (Worker worker : workers) {
      if (listComplete && !worker.isListed()) {
        worker.markGone();
      }
      if (worker.isGone() && worker.isIdle()) {
        release(worker);
      }
      if (worker.isReady()) {
        readyWorkers++;
        readyMemoryMb += worker.memoryMb();
      }
    }
    hashOrders.clear();
  }

  private void release(Worker worker) {
    workers.set(worker.id, null);
    functions.forEach(function -> function.removeReplica(worker));
    requests.forEach(request -> request.removeWorker(worker));
    actions.releaseWorker(worker.id);
  }
}
