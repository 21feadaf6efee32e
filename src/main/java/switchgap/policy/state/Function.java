package switchgap.policy.state;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.RequestArrival;

/** A function: its target replica count and the presumed states of its replicas. */
public final class Function {
  private static final int INITIAL_REPLICA_CAPACITY = 4;

  public final int id;

  /** Id of the function, identical at all routers. */
  public final long hash;

  /** Reported concurrency per slot, extrapolated to the sum over all target replicas. */
  public final Histogram concurrency;

  private int slots = 1;
  private double memoryMb;
  private int targetReplicas = 1;
  private int unreleasedRequests;
  private int pendingCommands;
  private int recentArrivals;
  private int saturatedPlacements;
  private int totalRequests;
  private boolean everLoaded;
  private int failedLoads;
  private Duration lastLoadFailure;
  private Duration lastRequest;
  private Duration lastBusy;

  /** Replicas whose presumed state differs from the initial one. */
  private final Map<Worker, Replica> replicas = new HashMap<>(INITIAL_REPLICA_CAPACITY);

  private final long createdAtEvent;

  /**
   * Creates a function without open requests.
   *
   * @param createdAtEvent number of the event that created it, counted by {@link PolicyState}
   */
  Function(int id, long hash, double[] concurrencyEdges, Duration now, long createdAtEvent) {
    this.id = id;
    this.hash = hash;
    this.createdAtEvent = createdAtEvent;
    this.concurrency = new Histogram(concurrencyEdges);
    this.lastBusy = now;
  }

  /** The replica at a worker, to be changed. */
  public Replica replicaAt(Worker worker) {
    return replicas.computeIfAbsent(worker, key -> new Replica(initialStateAt(worker)));
  }

  /** The replica at a worker, or null if nothing has changed its initial state. */
  public Replica findReplica(Worker worker) {
    return replicas.get(worker);
  }

  /** Whether a command to load the replica at a worker is in flight. */
  public boolean isLoadPending(Worker worker) {
    Replica replica = replicas.get(worker);
    return replica != null && replica.isLoadPending();
  }

  /** Whether a query for the replica at a worker, or a command to renew it, is in flight. */
  public boolean isQueryPending(Worker worker) {
    Replica replica = replicas.get(worker);
    return replica != null && replica.isQueryPending();
  }

  /**
   * The presumed state of a replica of which nothing is known. A worker whose process has restarted
   * since the function was first requested has only replicas that it loads on command.
   */
  Replica.State initialStateAt(Worker worker) {
    boolean isEmpty = worker.isPresumedEmpty() || worker.restartedAtEvent() > createdAtEvent;
    return isEmpty ? Replica.State.ABSENT : Replica.State.UNKNOWN;
  }

  /** Number of requests that one replica executes concurrently. */
  public int slots() {
    return slots;
  }

  /** Memory of one replica in MB. */
  public double memoryMb() {
    return memoryMb;
  }

  /** Number of replicas that should be loaded, at least 1. */
  public int targetReplicas() {
    return targetReplicas;
  }

  /** Requests since {@link #restartArrivalCounts()} was last called. */
  public int recentArrivals() {
    return recentArrivals;
  }

  /**
   * Number of times since the counts were last restarted that a request found a saturated target
   * replica and no available one; a queued request is counted at each queue step.
   */
  public int saturatedPlacements() {
    return saturatedPlacements;
  }

  /** Requests since this router first received one for the function. */
  public int totalRequests() {
    return totalRequests;
  }

  /** Whether any replica of it has ever been loaded, as far as this router knows. */
  public boolean everLoaded() {
    return everLoaded;
  }

  /** Number of loads that failed before any replica of it had been loaded. */
  public int failedLoads() {
    return failedLoads;
  }

  /** Time of the last failure counted in {@link #failedLoads()}; null if there is none. */
  public Duration lastLoadFailure() {
    return lastLoadFailure;
  }

  /** Arrival time of its last request. */
  public Duration lastRequest() {
    return lastRequest;
  }

  /**
   * When its concurrency was last above the scale-down threshold, or its target was last lowered.
   */
  public Duration lastBusy() {
    return lastBusy;
  }

  /** Records that its concurrency is above the scale-down threshold. */
  public void markBusy(Duration now) {
    lastBusy = now;
  }

  /** Raises the target by a number of replicas. */
  public void scaleUp(int addedReplicas) {
    targetReplicas += addedReplicas;
  }

  /** Lowers the target by one replica. */
  public void scaleDown(Duration now) {
    targetReplicas--;
    lastBusy = now;
  }

  /** Lowers the target to a maximum if it is above it. */
  public void capTarget(int maxReplicas) {
    targetReplicas = Math.min(targetReplicas, maxReplicas);
  }

  /** Resets the counts of arrivals and of saturated placements. */
  public void restartArrivalCounts() {
    recentArrivals = 0;
    saturatedPlacements = 0;
  }

  /** Counts a request that found a saturated target replica and no available one. */
  public void placementSaturated() {
    saturatedPlacements++;
  }

  /** Counts a load command or a replica query as in flight at a worker. */
  public void commandStarted(Worker worker) {
    worker.commandStarted();
    pendingCommands++;
  }

  /** Counts a load command or a replica query at a worker as ended. */
  public void commandEnded(Worker worker) {
    worker.commandEnded();
    pendingCommands--;
  }

  /** Counts a failed load of a function that has never been loaded. */
  public void loadFailed(Duration now) {
    failedLoads++;
    lastLoadFailure = now;
  }

  /** Records that a replica of it has been loaded. */
  public void markLoaded() {
    everLoaded = true;
  }

  /** Records that a worker served a request for it, so that its replica there is loaded. */
  public void attemptSucceeded(Worker worker, Duration now) {
    replicaAt(worker).served(now);
    markLoaded();
  }

  /** Whether it has no open request and no attempt or command in flight, so may be released. */
  public boolean isIdle() {
    return unreleasedRequests == 0 && pendingCommands == 0;
  }

  void requestArrived(RequestArrival arrival, Duration now) {
    slots = arrival.slots();
    memoryMb = arrival.memoryMb();
    lastRequest = now;
    recentArrivals++;
    totalRequests++;
    unreleasedRequests++;
  }

  void requestReleased() {
    unreleasedRequests--;
  }

  /** Handles a restart of a worker's process. */
  void workerRestarted(Worker worker) {
    Replica replica = replicas.get(worker);
    if (replica != null) {
      replica.workerRestarted();
    }
  }

  /** Records that an attempt is sent to a worker. */
  void attemptStarted(Worker worker, Duration now) {
    Replica replica = replicas.get(worker);
    if (replica != null) {
      replica.markUsed(now);
    }
  }

  /** Number of replicas whose state is stored. */
  public int storedReplicas() {
    return replicas.size();
  }

  /** Presumes the initial state of all replicas at which no command is in flight. */
  public void forgetReplicas() {
    replicas.values().removeIf(replica -> !replica.isCommandPending());
  }

  void removeReplica(Worker worker) {
    replicas.remove(worker);
  }
}
