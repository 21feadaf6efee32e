package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RequestArrival;

/** An accepted request and its attempts. */
public final class Request {
  private enum Phase {
    /** Accepted, or with an attempt. */
    OPEN,
    /** Waits to be placed. */
    QUEUED,
    /** Has its final response, or its client left. */
    CLOSED
  }

  public final int id;
  public final RequestClass requestClass;
  public final Function function;
  public final Duration arrivedAt;
  public final Duration deadline;

  /** Expected duration, null or zero where the client did not say. */
  public final Duration durationHint;

  private final List<AttemptState> attempts = new ArrayList<>(2);
  private final BitSet failedWorkers = new BitSet();
  private Phase phase = Phase.OPEN;
  private double weight;
  private double capacityDraw;
  private int inFlight;
  private int possibleExecutions;
  private Worker firstWorker;
  private Duration firstSentAt;
  private Worker suspectWorker;
  private Duration probeDeadline;
  private int pendingProbes;

  Request(
      RequestArrival arrival, RequestClass requestClass, Function function, Duration arrivedAt) {
    this.id = arrival.request();
    this.requestClass = requestClass;
    this.function = function;
    this.arrivedAt = arrivedAt;
    this.deadline = arrival.deadline();
    this.durationHint = arrival.durationHint();
    this.weight = requestClass.priorityWeight;
  }

  /** Whether the client said how long it should run. */
  public boolean hasDurationHint() {
    return durationHint != null && !durationHint.isZero();
  }

  /** Whether it has its final response, or its client left. */
  public boolean isClosed() {
    return phase == Phase.CLOSED;
  }

  /** Whether it waits to be placed. */
  public boolean isQueued() {
    return phase == Phase.QUEUED;
  }

  /** It waits to be placed. */
  public void queued() {
    phase = Phase.QUEUED;
  }

  /** It waits no more: an attempt was sent. */
  public void dequeued() {
    phase = Phase.OPEN;
  }

  /** Returns false if it was closed before. */
  boolean close() {
    boolean wasOpen = phase != Phase.CLOSED;
    phase = Phase.CLOSED;
    return wasOpen;
  }

  /** The priority weight that a response in time earns. */
  public double weight() {
    return weight;
  }

  /** Drawn once, by weight: the part of other routers' load at a worker that it gives way to. */
  public double capacityDraw() {
    return capacityDraw;
  }

  /** Sets the weight and the draw that depends on it. */
  public void prioritize(double priorityWeight, double draw) {
    weight = priorityWeight;
    capacityDraw = draw;
  }

  /** The weight that a response now would earn. */
  public double weightAt(Duration now) {
    boolean inTime = now.minus(arrivedAt).compareTo(requestClass.latencyObjective) < 0;
    return inTime ? weight : weight * requestClass.lateValueShare;
  }

  /** Whether a repeat does no harm at any worker, key or not. */
  public boolean isIdempotent() {
    return requestClass.idempotency == Idempotency.IDEMPOTENT;
  }

  /** Whether a repeat does no harm, at least where its idempotency key is known. */
  public boolean isRepeatable() {
    return requestClass.idempotency != Idempotency.NON_IDEMPOTENT;
  }

  /** Whether a repeat does no harm whoever sends it and to whichever worker. */
  public boolean isRepeatableAnywhere() {
    return isIdempotent()
        || (isRepeatable() && requestClass.deduplicationScope == DeduplicationScope.ALL);
  }

  /** Whether a worker drops repeats of what the first executed attempt may have done. */
  public boolean isInScope(Worker worker) {
    boolean sameZone = worker.zone() == firstWorker.zone();
    return switch (requestClass.deduplicationScope) {
      case ALL -> true;
      case ZONE -> sameZone;
      case CELL -> sameZone && worker.cell() == firstWorker.cell();
    };
  }

  /** When the first attempt that may have been executed was sent. */
  public Duration firstSentAt() {
    return firstSentAt;
  }

  /** Attempts in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Whether no attempt was executed, nor can be. */
  public boolean neverExecuted() {
    return possibleExecutions + inFlight == 0;
  }

  /** Whether it has had so many attempts. */
  public boolean hasUsedUp(int maxAttempts) {
    return attempts.size() >= maxAttempts;
  }

  /** An attempt is sent to a worker. */
  public void attemptStarted(Worker worker, AttemptState attempt, Duration now) {
    attempts.add(attempt);
    inFlight++;
    if (possibleExecutions == 0 && inFlight == 1) {
      firstWorker = worker;
      firstSentAt = now;
    }
    worker.attemptStarted(attempt);
    function.replicaAt(worker).used(now);
  }

  /** An attempt at a worker ended; returns it. */
  public AttemptState attemptEnded(int index, Worker worker, AttemptOutcome outcome) {
    AttemptState attempt = attempts.get(index);
    attempt.ended();
    inFlight--;
    possibleExecutions += outcome.neverExecuted() ? 0 : 1;
    worker.attemptEnded(attempt);
    return attempt;
  }

  /** The number of attempts so far. */
  int attemptCount() {
    return attempts.size();
  }

  boolean isInFlight(int index) {
    return attempts.get(index).isInFlight();
  }

  /** An attempt at a worker ended without a response. */
  public void failedAt(Worker worker) {
    failedWorkers.set(worker.id);
  }

  /** Whether an attempt at a worker ended without a response. */
  public boolean hasFailedAt(Worker worker) {
    return failedWorkers.get(worker.id);
  }

  /** The number of workers at which an attempt ended without a response. */
  public int failedWorkerCount() {
    return failedWorkers.cardinality();
  }

  void forgetWorker(int worker) {
    failedWorkers.clear(worker);
  }

  /**
   * It failed at a worker, perhaps by its own fault; if it succeeds elsewhere, the worker was at
   * fault.
   */
  public void suspect(Worker worker) {
    suspectWorker = worker;
  }

  /** The worker suspected last, null for none; it is suspected no more. */
  public Worker takeSuspect() {
    Worker suspect = suspectWorker;
    suspectWorker = null;
    return suspect;
  }

  /** Whether it ever waited for load probes. */
  public boolean hasWaitedForProbes() {
    return probeDeadline != null;
  }

  /** It waits until a time for the load probes that are sent for it. */
  public void waitForProbes(Duration until) {
    probeDeadline = until;
  }

  /** Whether it waits for load probes: some are in flight and the wait is not over. */
  public boolean isWaitingForProbes(Duration now) {
    return pendingProbes > 0 && now.compareTo(probeDeadline) < 0;
  }

  /** Load probes in flight that it waits for. */
  public int pendingProbes() {
    return pendingProbes;
  }

  void probeStarted() {
    pendingProbes++;
  }

  void probeEnded() {
    pendingProbes--;
  }
}
