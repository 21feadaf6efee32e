package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.WorkerState;

/** A worker: what the endpoint list says of it and what this router has measured of it. */
public final class Worker {
  public final int id;

  /** Its id as all routers see it. */
  public final long hash;

  /** Durations there as a ratio to what is usual. */
  public final Histogram latencyRatios;

  /** Outcomes there: 0 for a success, 1 for an error. */
  public final Histogram errors;

  /**
   * Durations there as a ratio to the latency objective; halved each second, so it holds the last
   * one to two.
   */
  public final Histogram relativeDurations;

  /** Attempts sent while it warms up. */
  public final SlidingWindow sendsWhileCold = new SlidingWindow();

  /** Requests that wait for the probe that is out; a probe is out while there are any. */
  public final List<Request> awaitingProbe = new ArrayList<>();

  public WorkerState state = WorkerState.GONE;

  /** Whether the endpoint list under way has named it. */
  public boolean listed;

  /**
   * Whether nothing is loaded there but what this router had loaded: its process has just started.
   */
  public boolean presumedEmpty;

  public int zone;
  public int cell;
  public double memoryMb;
  public double hashWeight;

  /** Start of its process, null if long past. */
  public Duration startedAt;

  /** This router's attempts in flight there. */
  public int inFlight;

  /** Of these, the ones that wait for a replica to be loaded. */
  public int waitingForLoad;

  /** Requests queued for it, while the queue is being placed. */
  public int queuedAhead;

  /** Load commands and queries in flight there. */
  public int pendingCommands;

  /** Ejections since its last success while on probation. */
  public int ejectionCount;

  /** Whether it was ejected and has not succeeded since. */
  public boolean onProbation;

  /** End of its last ejection, null if there was none. */
  public Duration ejectedUntil;

  /** When it last answered anything. */
  public Duration lastResponse = Duration.ZERO;

  /** Other routers' requests there, as of its last report. */
  public double foreignLoad;

  /** Share of its cores in use, as of its last report. */
  public double cpuUtilization = 1;

  /** When it last reported its load, null for never. */
  public Duration lastReport;

  /** Its usual latency as a ratio to the fleet's. */
  public double latencyRatio = 1;

  Worker(EndpointEntry entry, HistogramEdges edges) {
    this.id = entry.worker();
    this.hash = entry.hash();
    this.startedAt = entry.startedAt();
    this.latencyRatios = new Histogram(edges.latencyRatios());
    this.errors = new Histogram(edges.errors());
    this.relativeDurations = new Histogram(edges.relativeDurations());
  }

  /** Whether it takes requests. */
  public boolean isReady() {
    return state == WorkerState.READY;
  }

  /** Lets what tells of its health fade. */
  public void halveHealth() {
    latencyRatios.halve();
    errors.halve();
  }

  /** It gets nothing until a time, and then one attempt at a time until one succeeds. */
  public void eject(Duration until) {
    ejectedUntil = until;
    onProbation = true;
    latencyRatios.clear();
    errors.clear();
  }

  /** Takes in a report of its load; a utilization that was not reported stays as it was. */
  public void reported(double load, double utilization, Duration now) {
    foreignLoad = load;
    lastReport = now;
    cpuUtilization = Double.isNaN(utilization) ? cpuUtilization : utilization;
  }

  /** The probe that was out has ended. */
  public void probeEnded() {
    awaitingProbe.forEach(request -> request.pendingProbes--);
    awaitingProbe.clear();
  }

  /** Its process started anew, and is not to blame for the old one. */
  void restarted(Duration at) {
    startedAt = at;
    latencyRatios.clear();
    errors.clear();
    ejectedUntil = null;
    onProbation = false;
    ejectionCount = 0;
  }

  /** Takes in what the endpoint list says of it. */
  void update(EndpointEntry entry, double memory, double weight) {
    listed = true;
    state = entry.state();
    zone = entry.zone();
    cell = entry.cell();
    memoryMb = memory;
    hashWeight = weight;
    startedAt = entry.startedAt();
  }
}
