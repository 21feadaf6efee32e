package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.WorkerState;

/**
 * A worker: its entry of the endpoint list and what this router has measured of it. The histograms
 * are public, as the policy decides what they count and when they fade.
 */
public final class Worker {
  public final int id;

  /** The worker's id as all routers see it. */
  public final long hash;

  /** Durations there as a ratio to the usual one. */
  public final Histogram latencyRatios;

  /** Outcomes there: 0 for a success, 1 for an error. */
  public final Histogram errors;

  /**
   * Durations there as a ratio to the latency objective, halved each second: the last one to two.
   */
  public final Histogram relativeDurations;

  /** Attempts sent while it warms up. */
  public final SlidingWindow slowStartSends = new SlidingWindow();

  /** Its ejections as an outlier. */
  public final EjectionState ejection = new EjectionState();

  /** What its replies prove while the endpoint list is unconfirmed. */
  public final WorkerLease lease = new WorkerLease();

  /** Its load as of its last report. */
  public final ReportedLoad report = new ReportedLoad();

  private final List<Request> awaitingProbe = new ArrayList<>();
  private boolean probeInFlight;
  private final ProcessStart start;
  private WorkerState state = WorkerState.GONE;
  private boolean listed;
  private boolean presumedEmpty;
  private int zone;
  private int cell;
  private double memoryMb;
  private double hashWeight;
  private int inFlight;
  private int waitingForLoad;
  private int queuedAhead;
  private int pendingCommands;
  private Duration lastResponse = Duration.ZERO;
  private double latencyRatio = 1;

  Worker(EndpointEntry entry, HistogramEdges edges) {
    this.id = entry.worker();
    this.hash = entry.hash();
    this.start = new ProcessStart(entry.startedAt());
    this.latencyRatios = new Histogram(edges.latencyRatios());
    this.errors = new Histogram(edges.errors());
    this.relativeDurations = new Histogram(edges.relativeDurations());
  }

  // The endpoint list.

  /** Whether it takes requests. */
  public boolean isReady() {
    return state == WorkerState.READY;
  }

  boolean isGone() {
    return state == WorkerState.GONE;
  }

  /** Whether the endpoint list in progress has named it. */
  boolean isListed() {
    return listed;
  }

  /** An endpoint list begins. */
  void listStarted() {
    listed = false;
  }

  /** Applies its entry of the endpoint list. */
  void update(EndpointEntry entry, double memory, double weight) {
    listed = true;
    state = entry.state();
    zone = entry.zone();
    cell = entry.cell();
    memoryMb = memory;
    hashWeight = weight;
    start.listed(entry.startedAt());
  }

  /** A complete endpoint list does not name it. */
  void gone() {
    state = WorkerState.GONE;
  }

  /** Its process started anew: the old one's errors, latencies and ejections do not count. */
  public void restarted() {
    latencyRatios.clear();
    errors.clear();
    ejection.clear();
  }

  /** Whether only this router can have loaded replicas there: its process has just started. */
  public boolean isPresumedEmpty() {
    return presumedEmpty;
  }

  void presumeEmpty(boolean empty) {
    presumedEmpty = empty;
  }

  /** Its warm-up is over: other routers may have loaded replicas there. */
  public void warmedUp() {
    presumedEmpty = false;
  }

  /** Index of its zone in the settings. */
  public int zone() {
    return zone;
  }

  /** Its cell within the zone. */
  public int cell() {
    return cell;
  }

  double memoryMb() {
    return memoryMb;
  }

  double hashWeight() {
    return hashWeight;
  }

  /** The start of its process, as listed or as presumed. */
  public ProcessStart start() {
    return start;
  }

  /** Start of its process, null if long past. */
  public Duration startedAt() {
    return start.at();
  }

  // This router's attempts, commands, queue and probes.

  /** This router's attempts in flight there. */
  public int inFlight() {
    return inFlight;
  }

  /** This router's attempts in flight there that do not wait for a replica to be loaded. */
  public int running() {
    return inFlight - waitingForLoad;
  }

  void attemptStarted(AttemptState attempt) {
    inFlight++;
    waitingForLoad += attempt.waitsForLoad() ? 1 : 0;
  }

  void attemptEnded(AttemptState attempt) {
    inFlight--;
    waitingForLoad -= attempt.waitsForLoad() ? 1 : 0;
  }

  void commandStarted() {
    pendingCommands++;
  }

  void commandEnded() {
    pendingCommands--;
  }

  /** Whether this router has no attempt, load command or query in flight there. */
  boolean isIdle() {
    return inFlight + pendingCommands == 0;
  }

  /** Queues one more request for it while the queue is placed; returns how many are ahead. */
  public int enqueue() {
    return queuedAhead++;
  }

  /** The queue has been placed. */
  public void queuePlaced() {
    queuedAhead = 0;
  }

  /** Whether a load probe is in flight. */
  public boolean isProbed() {
    return probeInFlight;
  }

  /** A load probe is sent. */
  void probeStarted(Duration now) {
    probeInFlight = true;
    lease.probed(now);
  }

  /** A request waits for the load probe that is in flight. */
  public void awaitProbe(Request request) {
    awaitingProbe.add(request);
    request.probeStarted();
  }

  /** The load probe that was in flight ended. */
  public void probeEnded() {
    probeInFlight = false;
    awaitingProbe.forEach(Request::probeEnded);
    awaitingProbe.clear();
  }

  // Health and load.

  /** When it last responded to an attempt or a load probe. */
  public Duration lastResponse() {
    return lastResponse;
  }

  /** It responded to an attempt or a load probe. */
  public void responded(Duration now) {
    lastResponse = now;
  }

  /** Halves the counts of outcomes and latencies. */
  public void halveHealth() {
    latencyRatios.halve();
    errors.halve();
  }

  /** It gets nothing until a time, and then one attempt at a time until one succeeds. */
  public void eject(Duration until) {
    ejection.ejected(until);
    latencyRatios.clear();
    errors.clear();
  }

  /** An attempt there succeeded. */
  public void attemptSucceeded() {
    errors.add(0);
    ejection.attemptSucceeded();
  }

  /** Its usual latency as a ratio to the fleet's. */
  public double latencyRatio() {
    return latencyRatio;
  }

  /** Its usual latency was measured anew. */
  public void latencyRatioMeasured(double ratio) {
    latencyRatio = ratio;
  }
}
