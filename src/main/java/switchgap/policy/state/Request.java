package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RequestArrival;

/** An accepted request and its attempts. */
public final class Request {
  private enum Phase {
    /** Accepted and not queued. */
    OPEN,
    /** Waits in the queue to be sent. */
    QUEUED,
    /** Has its final response, or its client disconnected. */
    CLOSED
  }

  public final int id;
  public final RequestClass requestClass;
  public final Function function;
  public final Duration arrivedAt;
  public final Duration deadline;

  /** Expected duration, null or zero if the client gave none. */
  public final Duration durationHint;

  private final List<AttemptState> attempts = new ArrayList<>(2);
  private final List<Worker> failedWorkers = new ArrayList<>(0);
  private Phase phase = Phase.OPEN;
  private double weight;
  private double capacityDraw;
  private int inFlight;
  private int possibleExecutions;
  private Worker firstWorker;

  /** When the first attempt that may have executed was sent. */
  private Duration firstSentAt;

  private Duration attemptLimit;
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

  /** Whether the client gave an expected duration. */
  public boolean hasDurationHint() {
    return durationHint != null && !durationHint.isZero();
  }

  /** Whether it has its final response, or its client disconnected. */
  public boolean isClosed() {
    return phase == Phase.CLOSED;
  }

  /** Whether it waits in the queue. */
  public boolean isQueued() {
    return phase == Phase.QUEUED;
  }

  /** Records that it was added to the queue. */
  public void markQueued() {
    phase = Phase.QUEUED;
  }

  /** Records that it left the queue because an attempt was sent. */
  public void markDequeued() {
    phase = Phase.OPEN;
  }

  /** Closes the request; no effect if it was closed before. */
  void close() {
    phase = Phase.CLOSED;
  }

  /** The weight that a response within the latency objective earns. */
  public double weight() {
    return weight;
  }

  /**
   * Share of other routers' load at a worker that counts against this request, if below 1. Drawn at
   * random on arrival; the greater the weight, the smaller on average.
   */
  public double capacityDraw() {
    return capacityDraw;
  }

  /** Sets the weight and the {@link #capacityDraw()} that was drawn for it. */
  public void prioritize(double priorityWeight, double draw) {
    weight = priorityWeight;
    capacityDraw = draw;
  }

  /** The weight that a response at this time would earn. */
  public double weightAt(Duration now) {
    boolean inTime = now.minus(arrivedAt).compareTo(requestClass.latencyObjective) < 0;
    return inTime ? weight : weight * requestClass.lateValueShare;
  }

  /** Whether it may be executed again at any worker without an idempotency key. */
  public boolean isIdempotent() {
    return requestClass.idempotency == Idempotency.IDEMPOTENT;
  }

  /** Whether it may be executed again, at least where workers drop repeats by idempotency key. */
  public boolean isRepeatable() {
    return requestClass.idempotency != Idempotency.NON_IDEMPOTENT;
  }

  /** Whether it may be sent again to any worker by anyone, including the client. */
  public boolean isRepeatableAnywhere() {
    return isIdempotent()
        || (isRepeatable() && requestClass.deduplicationScope == DeduplicationScope.ALL);
  }

  /** Whether a worker is in the deduplication scope of the first attempt that may have executed. */
  public boolean isInDeduplicationScope(Worker worker) {
    boolean sameZone = worker.zone() == firstWorker.zone();
    return switch (requestClass.deduplicationScope) {
      case ALL -> true;
      case ZONE -> sameZone;
      case CELL -> sameZone && worker.cell() == firstWorker.cell();
    };
  }

  /**
   * Until when attempts may be sent, as workers drop repeats only for a limited time; null for no
   * limit. It has no meaning for a request that may not be repeated at all.
   *
   * @param margin time before the end of the workers' deduplication window
   */
  public Duration repeatableUntil(Duration margin) {
    if (isIdempotent() || neverExecuted()) {
      return null;
    }
    return firstSentAt.plus(requestClass.deduplicationWindow).minus(margin);
  }

  /** The limit that was last passed to the core, after which no attempt is sent; or null. */
  Duration attemptLimit() {
    return attemptLimit;
  }

  /** Records the limit that was passed to the core. */
  void attemptsLimited(Duration until) {
    attemptLimit = until;
  }

  /** Number of its attempts in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Whether no attempt can have executed and none is in flight. */
  public boolean neverExecuted() {
    return possibleExecutions + inFlight == 0;
  }

  /** Whether it has had at least this many attempts. */
  public boolean hasReachedAttempts(int maxAttempts) {
    return attempts.size() >= maxAttempts;
  }

  /** Records the start of an attempt at a worker. */
  public void attemptStarted(Worker worker, AttemptState attempt, Duration now) {
    attempts.add(attempt);
    inFlight++;
    if (possibleExecutions == 0 && inFlight == 1) {
      firstWorker = worker;
      firstSentAt = now;
    }
    worker.attemptStarted(attempt);
    function.attemptStarted(worker, now);
  }

  /** Records the end of an attempt at a worker; returns the attempt. */
  public AttemptState attemptEnded(int index, Worker worker, AttemptOutcome outcome) {
    AttemptState attempt = attempts.get(index);
    attempt.ended();
    inFlight--;
    possibleExecutions += outcome.neverExecuted() ? 0 : 1;
    worker.attemptEnded(attempt);
    return attempt;
  }

  /** Number of attempts so far. */
  int attemptCount() {
    return attempts.size();
  }

  boolean isInFlight(int index) {
    return attempts.get(index).isInFlight();
  }

  /** Records that an attempt at a worker ended without a successful response. */
  public void markFailedAt(Worker worker) {
    if (!hasFailedAt(worker)) {
      failedWorkers.add(worker);
    }
  }

  /** Whether an attempt at a worker ended without a successful response. */
  public boolean hasFailedAt(Worker worker) {
    return failedWorkers.contains(worker);
  }

  /** Number of workers at which an attempt ended without a successful response. */
  public int failedWorkerCount() {
    return failedWorkers.size();
  }

  void removeWorker(Worker worker) {
    failedWorkers.remove(worker);
  }

  /**
   * Records that it failed at a worker but may have caused the error itself. If it succeeds at
   * another worker, the error was the fault of the suspected worker.
   */
  public void recordSuspect(Worker worker) {
    suspectWorker = worker;
  }

  /** Returns the worker suspected last, or null, and clears the suspicion. */
  public Worker takeSuspect() {
    Worker suspect = suspectWorker;
    suspectWorker = null;
    return suspect;
  }

  /** Whether it has ever waited for load probes. */
  public boolean hasWaitedForProbes() {
    return probeDeadline != null;
  }

  /** Sets the time until which it waits for load probes. */
  public void waitForProbes(Duration until) {
    probeDeadline = until;
  }

  /** Whether it still waits for load probes: one is in flight and the time is not over. */
  public boolean isWaitingForProbes(Duration now) {
    return pendingProbes > 0 && now.compareTo(probeDeadline) < 0;
  }

  /** Number of load probes in flight that it waits for. */
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
