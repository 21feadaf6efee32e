package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RequestArrival;

/** A request that was taken, and what has become of it. */
public final class Request {
  public final int id;
  public final RequestClass requestClass;
  public final Function function;
  public final Duration arrivedAt;
  public final Duration deadline;

  /** How long it should run, null or zero where the client did not say. */
  public final Duration durationHint;

  public final List<AttemptState> attempts = new ArrayList<>(2);

  /** Workers at which an attempt ended without a response. */
  public final BitSet failedWorkers = new BitSet();

  /** Where it last failed before its function was loaded anywhere, null for nowhere. */
  public Worker suspectWorker;

  /** What a response in time is worth. */
  public double weight;

  /** Drawn once, by weight: the part of others' load that it gives way to. */
  public double capacityDraw;

  /** Attempts in flight. */
  public int inFlight;

  /** Attempts that ended and may have been executed. */
  public int possibleExecutions;

  /** Where the first attempt that may have been executed went. */
  public Worker firstWorker;

  /** When that attempt was sent. */
  public Duration firstSentAt;

  /** Whether it has its final response, or its client left. */
  public boolean closed;

  /** Whether it waits to be placed. */
  public boolean queued;

  /** Until when it waits for probes, null while it never did. */
  public Duration probeDeadline;

  /** Probes out that it waits for. */
  public int pendingProbes;

  Request(RequestArrival arrival, RequestClass requestClass, Function function, Duration now) {
    this.id = arrival.request();
    this.requestClass = requestClass;
    this.function = function;
    this.arrivedAt = now;
    this.deadline = arrival.deadline();
    this.durationHint = arrival.durationHint();
    this.weight = requestClass.priorityWeight;
  }

  /** Whether the client said how long it should run. */
  public boolean hasDurationHint() {
    return durationHint != null && !durationHint.isZero();
  }

  /** Whether it may be repeated anywhere. */
  public boolean isIdempotent() {
    return requestClass.idempotency == Idempotency.IDEMPOTENT;
  }

  /** Whether it may be repeated at all. */
  public boolean isRepeatable() {
    return requestClass.idempotency != Idempotency.NON_IDEMPOTENT;
  }

  /** Whether whoever repeats it does no harm, wherever that goes. */
  public boolean isRepeatableAnywhere() {
    return isIdempotent()
        || (isRepeatable() && requestClass.deduplicationScope == DeduplicationScope.ALL);
  }

  /** Whether a worker drops repeats of what {@link #firstWorker} may have executed. */
  public boolean isInScope(Worker worker) {
    boolean sameZone = worker.zone == firstWorker.zone;
    return switch (requestClass.deduplicationScope) {
      case ALL -> true;
      case ZONE -> sameZone;
      case CELL -> sameZone && worker.cell == firstWorker.cell;
    };
  }

  /** Whether no attempt was executed, nor can be. */
  public boolean neverExecuted() {
    return possibleExecutions + inFlight == 0;
  }

  /** Whether it has had so many attempts. */
  public boolean hasUsedUp(int maxAttempts) {
    return attempts.size() >= maxAttempts;
  }

  /** What a response now would be worth. */
  public double worthAt(Duration now) {
    boolean inTime = now.minus(arrivedAt).compareTo(requestClass.latencyObjective) < 0;
    return inTime ? weight : weight * requestClass.lateValueShare;
  }

  /** An attempt goes out to a worker. */
  public void attemptStarted(Worker worker, AttemptState attempt, Duration now) {
    attempts.add(attempt);
    inFlight++;
    if (possibleExecutions == 0 && inFlight == 1) {
      firstWorker = worker;
      firstSentAt = now;
    }
    worker.inFlight++;
    worker.waitingForLoad += attempt.waitsForLoad ? 1 : 0;
    function.replicaAt(worker).lastUsed = now;
  }

  /** An attempt at a worker ended; returns it. */
  public AttemptState attemptEnded(int index, Worker worker, AttemptOutcome outcome) {
    AttemptState attempt = attempts.get(index);
    attempt.ended = true;
    inFlight--;
    possibleExecutions += outcome.neverExecuted() ? 0 : 1;
    worker.inFlight--;
    worker.waitingForLoad -= attempt.waitsForLoad ? 1 : 0;
    return attempt;
  }
}
