package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.WorkerState;

/**
 * A worker: its entry in the endpoint list and this router's measurements of it. The histograms are
 * public because the policy classes decide what to add to them and when to halve them.
 */
public final class Worker {
  public final int id;

  /** Id of the worker, identical at all routers. */
  public final long hash;

  /** Ratios of actual to expected durations at this worker. */
  public final Histogram latencyRatios;

  /** Outcomes of attempts at this worker: 0 for a success, 1 for an error. */
  public final Histogram errors;

  /**
   * Ratios of durations at this worker to the latency objective. Since the counts are halved each
   * second, they cover the last one to two seconds.
   */
  public final Histogram relativeDurations;

  /** Attempts that this router sent while the worker was warming up. */
  public final SlidingWindow slowStartSends = new SlidingWindow();

  /** Its ejections by outlier detection. */
  public final EjectionState ejection = new EjectionState();

  /** Its lease, which is required for sends while the endpoint list is unconfirmed. */
  public final WorkerLease lease = new WorkerLease();

  /** Its load according to its last report. */
  public final ReportedLoad report = new ReportedLoad();

  private final List<Request> awaitingProbe = new ArrayList<>();
  private boolean probeInFlight;
  private final ProcessStart start;
  private WorkerState state = WorkerState.GONE;
  private boolean listed;
  private boolean presumedEmpty;
  private long restartedAtEvent;
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

  // Endpoint list

  /** Whether it accepts requests, according to the endpoint list. */
  public boolean isReady() {
    return state == WorkerState.READY;
  }

  boolean isGone() {
    return state == WorkerState.GONE;
  }

  /** Whether the endpoint list that is being processed has an entry for it. */
  boolean isListed() {
    return listed;
  }

  /** Prepares for a new endpoint list. */
  void listStarted() {
    listed = false;
  }

  /** Applies its entry in the endpoint list. */
  void update(EndpointEntry entry, double memory, double weight) {
    listed = true;
    state = entry.state();
    zone = entry.zone();
    cell = entry.cell();
    memoryMb = memory;
    hashWeight = weight;
    start.listed(entry.startedAt());
  }

  /** Records that a complete endpoint list has no entry for it. */
  void markGone() {
    state = WorkerState.GONE;
  }

  /**
   * Discards the latencies, errors and ejections of the previous process after a restart.
   *
   * @param eventNumber number of the restart, counted by {@link PolicyState}
   */
  void restarted(long eventNumber) {
    restartedAtEvent = eventNumber;
    latencyRatios.clear();
    errors.clear();
    ejection.clear();
  }

  /** Number of the last restart of its process among the events; 0 if there was none. */
  long restartedAtEvent() {
    return restartedAtEvent;
  }

  /** Whether only this router can have loaded replicas there, because its process is new. */
  public boolean isPresumedEmpty() {
    return presumedEmpty;
  }

  void setPresumedEmpty(boolean empty) {
    presumedEmpty = empty;
  }

  /** Records the end of its warm-up: other routers may have loaded replicas there by now. */
  public void warmedUp() {
    presumedEmpty = false;
  }

  /** Index of its zone in the settings. */
  public int zone() {
    return zone;
  }

  /** Number of its cell within the zone. */
  public int cell() {
    return cell;
  }

  double memoryMb() {
    return memoryMb;
  }

  double hashWeight() {
    return hashWeight;
  }

  /** The start of its process, listed or presumed. */
  public ProcessStart start() {
    return start;
  }

  /** Time when its process started; null if unknown, so that it is treated as warmed up. */
  public Duration startedAt() {
    return start.effective();
  }

  // This router's attempts, commands, queue and probes

  /** Number of this router's attempts in flight there. */
  public int inFlight() {
    return inFlight;
  }

  /** Number of this router's attempts in flight there that do not wait for a replica to load. */
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

  /** Whether this router has no attempt, load command or replica query in flight there. */
  boolean isIdle() {
    return inFlight + pendingCommands == 0;
  }

  /** Counts a request that waits for it in this queue step; returns the number counted before. */
  public int countQueued() {
    return queuedAhead++;
  }

  /** Resets the count of waiting requests at the end of a queue step. */
  public void resetQueued() {
    queuedAhead = 0;
  }

  /** Whether a load probe is in flight. */
  public boolean isProbeInFlight() {
    return probeInFlight;
  }

  /** Records that a load probe is sent. */
  void probeStarted(Duration now) {
    probeInFlight = true;
    lease.probed(now);
  }

  /** Makes a request wait for the load probe in flight. */
  public void awaitProbe(Request request) {
    awaitingProbe.add(request);
    request.probeStarted();
  }

  /** Records the end of the load probe in flight and notifies the requests that wait for it. */
  public void probeEnded() {
    probeInFlight = false;
    awaitingProbe.forEach(Request::probeEnded);
    awaitingProbe.clear();
  }

  // Health and load

  /** When it last responded to an attempt or a load probe. */
  public Duration lastResponse() {
    return lastResponse;
  }

  /** Records a response to an attempt or a load probe. */
  public void responded(Duration now) {
    lastResponse = now;
  }

  /** Halves the counts of latency ratios and outcomes. */
  public void halveHealthCounts() {
    latencyRatios.halve();
    errors.halve();
  }

  /**
   * Ejects it until a time, after which it is on probation: it gets one attempt at a time until one
   * succeeds.
   */
  public void eject(Duration until) {
    ejection.ejected(until);
    latencyRatios.clear();
    errors.clear();
  }

  /** Records a successful attempt. */
  public void attemptSucceeded() {
    errors.add(0);
    ejection.attemptSucceeded();
  }

  /** Its mean latency ratio relative to that of the fleet. */
  public double latencyRatio() {
    return latencyRatio;
  }

  /** Sets its mean latency ratio relative to that of the fleet. */
  public void setLatencyRatio(double ratio) {
    latencyRatio = ratio;
  }
}
