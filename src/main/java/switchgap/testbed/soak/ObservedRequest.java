package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request as observed by its client. The client's thread writes it; the checker reads it after
 * the run. Times are values of {@link System#nanoTime}, or 0 if the event has not happened.
 */
final class ObservedRequest {
  /** How the request ended for its client. */
  enum Outcome {
    /** No response has arrived yet. */
    PENDING,
    /** A worker's response was delivered. */
    SERVED,
    /** The router rejected the request; no worker executed it. */
    REJECTED,
    /** The request failed; a worker may have executed it. */
    FAILED,
    /** The connection ended before a response arrived. */
    CONNECTION_LOST,
    /** The client cancelled the request or closed its connection. */
    CANCELLED
  }

  /**
   * Longest time between sending a request and the end of its connection within which the router
   * may have closed the connection before it read the request; a limit of the hosting platform.
   */
  private static final long MAX_CLOSE_CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final String id;
  private final RouterIncarnation destination;
  private final boolean idempotent;
  private final int timeoutMillis;
  private final boolean firstOnConnection;
  private volatile long sentNanos;
  private volatile long cancelledNanos;
  private volatile long endedNanos;
  private volatile Outcome outcome = Outcome.PENDING;
  private final AtomicInteger responseCount = new AtomicInteger();
  private volatile boolean responseMatches = true;
  private volatile boolean resent;

  /**
   * Creates a request that has not been sent.
   *
   * @param id idempotency key, unique within the run; a resend has the same id
   * @param destination router process that the request is sent to
   * @param idempotent whether it may be executed more than once
   * @param timeoutMillis timeout that the client requests, from the time of sending
   * @param firstOnConnection whether it is the first request on its connection
   */
  ObservedRequest(
      String id,
      RouterIncarnation destination,
      boolean idempotent,
      int timeoutMillis,
      boolean firstOnConnection) {
    this.id = id;
    this.destination = destination;
    this.idempotent = idempotent;
    this.timeoutMillis = timeoutMillis;
    this.firstOnConnection = firstOnConnection;
  }

  /** Returns a request with the same id, to be sent on a new connection. */
  ObservedRequest copyForResend() {
    return new ObservedRequest(id, destination, idempotent, timeoutMillis, true);
  }

  /** Records that the last byte of the request was written. */
  void markSent(long nowNanos) {
    sentNanos = nowNanos;
  }

  /** Records that the client cancelled the request; ends it unless it has already ended. */
  void markCancelled(long nowNanos) {
    cancelledNanos = nowNanos;
    end(Outcome.CANCELLED, nowNanos);
  }

  /** Records that the connection ended; ends the request unless it has already ended. */
  void markConnectionLost(long nowNanos) {
    end(Outcome.CONNECTION_LOST, nowNanos);
  }

  /**
   * Records that a response was read; the first one ends the request.
   *
   * @param responseOutcome outcome according to the response
   * @param matches whether the body is the one that a worker produces for this request
   * @param nowNanos time at which the response was read
   */
  void addResponse(Outcome responseOutcome, boolean matches, long nowNanos) {
    responseCount.incrementAndGet();
    responseMatches = responseMatches && matches;
    end(responseOutcome, nowNanos);
  }

  private void end(Outcome finalOutcome, long nowNanos) {
    if (outcome == Outcome.PENDING) {
      endedNanos = nowNanos;
      outcome = finalOutcome;
    }
  }

  /** Records that the request is sent again; the checks then apply to the resend. */
  void markResent() {
    resent = true;
  }

  /** Whether the router may have closed the connection before it read the request. */
  boolean mayHaveCrossedClose() {
    return endedNanos - sentNanos
        < MAX_CLOSE_CROSSING_NANOS + CheckTolerances.MEASUREMENT_ERROR_NANOS;
  }

  /** Records that a router that is shutting down rejected the resend without accepting it. */
  void markResendRejected() {
    resent = true;
  }

  /** Records that the resend reached no router; the checks then apply to the first request. */
  void markResendFailed() {
    resent = false;
  }

  String id() {
    return id;
  }

  RouterIncarnation destination() {
    return destination;
  }

  /** Index of the router that it was sent to. */
  int router() {
    return destination.router();
  }

  boolean isIdempotent() {
    return idempotent;
  }

  int timeoutMillis() {
    return timeoutMillis;
  }

  boolean isFirstOnConnection() {
    return firstOnConnection;
  }

  long sentNanos() {
    return sentNanos;
  }

  long cancelledNanos() {
    return cancelledNanos;
  }

  long endedNanos() {
    return endedNanos;
  }

  /** Time at which the client's timeout expires. */
  long deadlineNanos() {
    return sentNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  Outcome outcome() {
    return outcome;
  }

  boolean isPending() {
    return outcome == Outcome.PENDING;
  }

  int responseCount() {
    return responseCount.get();
  }

  boolean responseMatches() {
    return responseMatches;
  }

  boolean wasResent() {
    return resent;
  }
}
