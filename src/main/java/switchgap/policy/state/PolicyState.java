package switchgap.policy.state;

import java.time.Duration;
import java.util.SplittableRandom;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.WorkerState;

/**
 * What the parts of one router's policy share: settings, tables, and the time and actions of the
 * tick under way. It keeps account and decides nothing. One thread.
 */
public final class PolicyState {
  public final SettingsSnapshot settings;
  public final SplittableRandom random;
  public final IndexedTable<Worker> workers = new IndexedTable<>();
  public final IndexedTable<Function> functions = new IndexedTable<>();
  public final IndexedTable<Request> requests = new IndexedTable<>();
  public final FleetStatistics fleet;
  public final TenantUsage tenants;
  public final LoadQuotaUsage loadQuota;

  /** This router's part of one request at each worker, at most 1. */
  public final double ownShare;

  /** Time before a deadline at which no attempt may be in flight any more. */
  public final Duration deadlineMargin;

  public PolicyActions actions;
  public Duration now = Duration.ZERO;

  /** Calls of {@link #everySecond()}. */
  public long seconds;

  /** Number of ready workers, as of the last endpoint list. */
  public int readyWorkers;

  /** Memory of the ready workers, as of the last endpoint list. */
  public double readyMemoryMb;

  private final HistogramEdges edges;

  /** Counts endpoint lists, so that what is derived from one is known to be old. */
  private int listVersion;

  private boolean listComplete;

  /** Empty tables; the random draws come from the seed alone. */
  public PolicyState(
      SettingsSnapshot settings,
      HistogramEdges edges,
      long seed,
      double ownShare,
      Duration deadlineMargin) {
    this.settings = settings;
    this.edges = edges;
    this.random = new SplittableRandom(seed);
    this.fleet = new FleetStatistics(edges);
    this.tenants = new TenantUsage(settings.tenantQuotas);
    this.loadQuota = new LoadQuotaUsage(settings, deadlineMargin);
    this.ownShare = ownShare;
    this.deadlineMargin = deadlineMargin;
  }

  /** A tick begins. */
  public void beginTick(Duration at, PolicyActions to) {
    now = at;
    actions = to;
  }

  /** Lets what is counted fade. */
  public void everySecond() {
    seconds++;
    loadQuota.prune(now);
    tenants.halve();
  }

  /** Whether a time has come. */
  public boolean hasPassed(Duration time) {
    return now.compareTo(time) >= 0;
  }

  /** Whether less than a span has passed since a time. */
  public boolean isWithin(Duration span, Duration since) {
    return now.minus(since).compareTo(span) < 0;
  }

  /** Whether a worker's process started less than the stated warm-up ago. */
  public boolean isWarmingUp(Worker worker) {
    return worker.startedAt != null && isWithin(settings.warmUpDuration, worker.startedAt);
  }

  /** All ready workers in the function's rendezvous order: the same at every router. */
  public Worker[] hashOrder(Function function) {
    return RendezvousHash.order(function, workers, listVersion);
  }

  /**
   * What is believed of a replica; nothing is known any more once it may have been unloaded as
   * idle.
   */
  public Replica.State replicaState(Function function, Worker worker) {
    Replica replica = function.replicaAt(worker);
    if (replica.state == Replica.State.LOADED
        && !isWithin(settings.replicaIdleTimeout, replica.lastUsed)) {
      replica.state = Replica.State.UNKNOWN;
    }
    return replica.state;
  }

  /** Enters a request that arrived, and its function where it is new. */
  public Request add(RequestArrival arrival) {
    Function function = functions.get(arrival.function());
    if (function == null) {
      function =
          functions.set(
              arrival.function(),
              new Function(arrival.function(), arrival.functionHash(), edges.concurrency(), now));
    }
    function.requestArrived(arrival, now);
    tenants.count(arrival.tenant());
    loadQuota.requestArrived(now);
    RequestClass requestClass = settings.requestClasses[arrival.requestClass()];
    return requests.set(arrival.request(), new Request(arrival, requestClass, function, now));
  }

  /** A request has its response or its client left: nothing further is started for it. */
  public void close(Request request) {
    request.function.openRequests -= request.closed ? 0 : 1;
    request.queued = false;
    request.closed = true;
  }

  /** Forgets a closed request with the end of its last attempt. */
  public void releaseIfSettled(Request request) {
    if (request.closed && request.inFlight == 0 && requests.get(request.id) == request) {
      requests.set(request.id, null);
      actions.releaseRequest(request.id);
    }
  }

  /** Cancels all attempts of a request that are in flight. */
  public void cancelAttempts(Request request) {
    for (int attempt = 0; attempt < request.attempts.size(); attempt++) {
      if (!request.attempts.get(attempt).ended) {
        actions.cancelAttempt(request.id, attempt);
      }
    }
  }

  /** Forgets a function. */
  public void release(Function function) {
    functions.set(function.id, null);
    actions.releaseFunction(function.id);
  }

  /** An endpoint list begins; a complete one names all workers there are. */
  public void endpointListStarted(boolean complete) {
    listComplete = complete;
    workers.forEach(worker -> worker.listed = false);
  }

  /**
   * Takes in one worker of the list; a process that started anew is empty, cold and without a past.
   */
  public void endpointListed(EndpointEntry entry) {
    Worker worker = workers.get(entry.worker());
    if (worker == null) {
      worker = workers.set(entry.worker(), new Worker(entry, edges));
      worker.presumedEmpty = isWarmingUp(worker);
    } else if (entry.startedAt() != null && !entry.startedAt().equals(worker.startedAt)) {
      worker.restarted(entry.startedAt());
      worker.presumedEmpty = isWarmingUp(worker);
      for (Function function : functions) {
        function.replicaAt(worker).workerRestarted();
      }
    }
    double[] memory = settings.workerKindMemory;
    double memoryMb = entry.kind() < memory.length ? memory[entry.kind()] : 0;
    boolean comparable = settings.capacityReported && entry.capacity() > 0;
    worker.update(entry, memoryMb, comparable ? entry.capacity() : Math.max(1, memoryMb));
  }

  /**
   * The list has come whole: forgets workers that are gone once nothing is out there, and counts
   * the ready ones.
   */
  public void endpointListEnded() {
    readyWorkers = 0;
    readyMemoryMb = 0;
    for (Worker worker : workers) {
      if (listComplete && !worker.listed) {
        worker.state = WorkerState.GONE;
      }
      if (worker.state == WorkerState.GONE && worker.inFlight + worker.pendingCommands == 0) {
        release(worker);
      }
      if (worker.isReady()) {
        readyWorkers++;
        readyMemoryMb += worker.memoryMb;
      }
    }
    listVersion++;
  }

  private void release(Worker worker) {
    workers.set(worker.id, null);
    functions.forEach(function -> function.forget(worker.id));
    requests.forEach(request -> request.failedWorkers.clear(worker.id));
    actions.releaseWorker(worker.id);
  }
}
