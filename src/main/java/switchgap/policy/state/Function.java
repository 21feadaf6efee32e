package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.RequestArrival;

/**
 * A function: its target replica count, its workers in hash order and the believed states of its
 * replicas.
 */
public final class Function {
  public final int id;

  /** The function's id as all routers see it. */
  public final long hash;

  /** Reported concurrency at its replicas, scaled to the sum over the target replicas. */
  public final Histogram concurrency;

  private int slots = 1;
  private double memoryMb;
  private int targetReplicas = 1;
  private int openRequests;
  private int pendingCommands;
  private int recentArrivals;
  private int saturatedArrivals;
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

  /** What is believed of the replica at a worker. */
  public Replica replicaAt(Worker worker) {
    Replica replica = replicas.get(worker.id);
    if (replica == null) {
      Replica.State initial =
          worker.isPresumedEmpty() ? Replica.State.ABSENT : Replica.State.UNKNOWN;
      replica = replicas.set(worker.id, new Replica(initial));
    }
    return replica;
  }

  /** Requests that one replica runs at a time. */
  public int slots() {
    return slots;
  }

  /** Memory of one replica. */
  public double memoryMb() {
    return memoryMb;
  }

  /** The number of replicas that should be loaded, at least 1. */
  public int targetReplicas() {
    return targetReplicas;
  }

  /** Requests since the target was last set. */
  public int recentArrivals() {
    return recentArrivals;
  }

  /** Placements since the target was last set that found only saturated replicas. */
  public int saturatedArrivals() {
    return saturatedArrivals;
  }

  /** Requests since the function is known. */
  public int totalRequests() {
    return totalRequests;
  }

  /** Whether a replica of it was ever known to be loaded. */
  public boolean everLoaded() {
    return everLoaded;
  }

  /** Loads that failed while no replica of it had ever been loaded. */
  public int failedLoads() {
    return failedLoads;
  }

  /** When the last of {@link #failedLoads()} failed; null if there is none. */
  public Duration lastLoadFailure() {
    return lastLoadFailure;
  }

  /** When its last request arrived. */
  public Duration lastRequest() {
    return lastRequest;
  }

  /** When its concurrency was last above the unload threshold, or its target was last lowered. */
  public Duration lastBusy() {
    return lastBusy;
  }

  /** Its concurrency is above the unload threshold. */
  public void busy(Duration now) {
    lastBusy = now;
  }

  /** The target rises by a number of replicas. */
  public void scaleUp(int replicasMore) {
    targetReplicas += replicasMore;
  }

  /** The target falls by one replica. */
  public void scaleDown(Duration now) {
    targetReplicas--;
    lastBusy = now;
  }

  /** The target is at most this. */
  public void limitTarget(int maxReplicas) {
    targetReplicas = Math.min(targetReplicas, maxReplicas);
  }

  /** The target was set: arrivals count from here. */
  public void restartArrivalCounts() {
    recentArrivals = 0;
    saturatedArrivals = 0;
  }

  /** The placement of a request found only saturated replicas. */
  public void placementSaturated() {
    saturatedArrivals++;
  }

  /** A load command or a query is sent to a worker. */
  public void commandStarted(Worker worker) {
    worker.commandStarted();
    pendingCommands++;
  }

  /** A load command or a query at a worker ended. */
  public void commandEnded(Worker worker) {
    worker.commandEnded();
    pendingCommands--;
  }

  /** A load failed, and none ever succeeded. */
  public void loadFailed(Duration now) {
    failedLoads++;
    lastLoadFailure = now;
  }

  /** A replica of it is known to be loaded. */
  public void loaded() {
    everLoaded = true;
  }

  /** A worker served a request for it, so its replica there is loaded. */
  public void attemptSucceeded(Worker worker, Duration now) {
    replicaAt(worker).served(now);
    loaded();
  }

  /** Whether no request and no command of it is open. */
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

  void forget(int worker) {
    replicas.set(worker, null);
  }

  /** The ready workers in hash order, computed once for each version of the endpoint list. */
  Worker[] hashOrder(Iterable<Worker> workers, int listVersion) {
    if (hashOrderVersion != listVersion) {
      workersByHash = RendezvousHash.order(this, workers);
      hashOrderVersion = listVersion;
    }
    return workersByHash;
  }
}
