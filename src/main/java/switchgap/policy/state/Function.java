package switchgap.policy.state;

import java.time.Duration;
import switchgap.policy.api.RequestArrival;

/**
 * A function: its target replica count, its workers in hash order and what is believed of its
 * replicas.
 */
public final class Function {
  public final int id;

  /** Its id as all routers see it. */
  public final long hash;

  /** Concurrency met at its replicas, summed over the target replicas. */
  public final Histogram concurrency;

  /** Requests that one replica runs at a time. */
  public int slots = 1;

  /** Memory of one replica. */
  public double memoryMb;

  public int targetReplicas = 1;

  /** Requests without a final response. */
  public int openRequests;

  /** Load commands and queries in flight for it. */
  public int pendingCommands;

  /** Requests since the target was last set. */
  public int recentArrivals;

  /** Of these, the placements that met only saturated replicas. */
  public int saturatedArrivals;

  /** Requests since it is known. */
  public int totalRequests;

  /** Whether a replica of it was ever known to be loaded. */
  public boolean everLoaded;

  /** Loads that failed while it never was. */
  public int failedLoads;

  public Duration lastLoadFailure;
  public Duration lastRequest;

  /** When its concurrency was last above the unload mark. */
  public Duration lastBusy;

  Worker[] workersByHash = {};
  int hashOrderVersion = -1;
  private final IndexedTable<Replica> replicas = new IndexedTable<>();

  Function(int id, long hash, double[] concurrencyEdges, Duration now) {
    this.id = id;
    this.hash = hash;
    this.concurrency = new Histogram(concurrencyEdges);
    this.lastBusy = now;
  }

  /** What is believed of its replica at a worker. */
  public Replica replicaAt(Worker worker) {
    Replica replica = replicas.get(worker.id);
    if (replica == null) {
      replica = replicas.set(worker.id, new Replica());
      replica.state = worker.presumedEmpty ? Replica.State.ABSENT : Replica.State.UNKNOWN;
    }
    return replica;
  }

  /** Counts a load command or a query that goes out. */
  public void commandStarted(Worker worker) {
    worker.pendingCommands++;
    pendingCommands++;
  }

  /** Counts a load command or a query that ended. */
  public void commandEnded(Worker worker) {
    worker.pendingCommands--;
    pendingCommands--;
  }

  /** A load failed, and none ever succeeded. */
  public void loadFailed(Duration now) {
    failedLoads++;
    lastLoadFailure = now;
  }

  /** A worker answered a request for it, so its replica there is loaded. */
  public void attemptSucceeded(Worker worker, Duration now) {
    Replica replica = replicaAt(worker);
    replica.state = Replica.State.LOADED;
    replica.lastUsed = now;
    everLoaded = true;
  }

  /** Whether neither a request nor a command of it is open. */
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

  void forget(int worker) {
    replicas.set(worker, null);
  }
}
