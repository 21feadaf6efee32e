package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.RequestArrival;

/**
 * A function: its target replica count, its workers in hash order and the presumed states of its
 * replicas.
 */
public final class Function {
  public final int id;

  /** Id of the function, identical at all routers. */
  public final long hash;

  /** Reported concurrency per slot, extrapolated to the sum over all target replicas. */
  public final Histogram concurrency;

  private int slots = 1;
  private double memoryMb;
  private int targetReplicas = 1;
  private int openRequests;
  private int pendingCommands;
  private int recentArrivals;
  private int saturatedPlacements;
  private int totalRequests;
  private boolean everLoaded;
  private int failedLoads;
  private Duration lastLoadFailure;
  private Duration lastRequest;
  private Duration lastBusy;
  private Worker[] workersByHash = {};
  private int hashOrderVersion = -1;
  private final IndexedTable<Replica> replicas = new IndexedTable<>();

  Function(int id, long hash, double[] concurrencyEdges, Duration now) {
    this.id = id;
    this.hash = hash;
    this.concurrency = new Histogram(concurrencyEdges);
    this.lastBusy = now;
  }

  /** The presumed state of the replica at a worker. */
  public Replica replicaAt(Worker worker) {
    Replica replica = replicas.get(worker.id);
    if (replica == null) {
      Replica.State initial =
          worker.isPresumedEmpty() ? Replica.State.ABSENT : Replica.State.UNKNOWN;
      replica = replicas.set(worker.id, new Replica(initial));
    }
    return replica;
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

  /** Whether it has no open request and no command in flight. */
  public boolean isIdle() {
    return openRequests == 0 && pendingCommands == 0;
  }

  void requestArrived(RequestArrival arrival, Duration now) {
    slots = arrival.slots();
    memoryMb = arrival.memoryMb();
    lastRequest = now;
    recentArrivals++;
    totalRequests++;
    openRequests++;
  }

  void requestClosed() {
    openRequests--;
  }

  void removeReplica(int worker) {
    replicas.set(worker, null);
  }

  /** The ready workers in hash order, cached per version of the endpoint list. */
  Worker[] hashOrder(Iterable<Worker> workers, int listVersion) {
    if (hashOrderVersion != listVersion) {
      workersByHash = RendezvousHash.order(this, workers);
      hashOrderVersion = listVersion;
    }
    return workersByHash;
  }
}
