package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request as its client saw it. The client's thread changes it, the checker reads it afterwards.
 * Times are of {@link System#nanoTime}; 0 where something has not happened.
 */
final class ObservedRequest {
  /** How the request ended for its client. */
  enum Outcome {
    /** No response yet. */
    PENDING,
    /** A worker's response was delivered. */
    SERVED,
    /** The router rejected it; it was not executed. */
    REJECTED,
    /** It failed; it may have been executed. */
    FAILED,
    /** Its connection ended before a response. */
    CONNECTION_LOST,
    /** The client revoked it or closed its connection. */
    CANCELLED
  }

  /** The platform's bound of the time by which a request and a close may cross. */
  private static final long MAX_CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final String id;
  private final RouterIncarnation destination;
  private final boolean idempotent;
  private final int timeoutMillis;
  private final boolean firstOnConnection;
  private volatile long sentNanos;
  private volatile long cancelledNanos;
  private volatile long endedNanos;
  private volatile Outcome outcome = Outcome.PENDING;
  private final AtomicInteger responses = new AtomicInteger();
  private volatile boolean responseMatches = true;
  private volatile boolean resent;

  /**
   * A request that is not sent yet.
   *
   * @param id idempotency key, unique within the run; a resend has the id of the first request
   * @param destination the router process that it is sent to
   * @param idempotent whether it may be executed more than once
   * @param timeoutMillis timeout that the client states, from the time of sending
   * @param firstOnConnection whether its connection carried no request before
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

  /** The same request, to be sent again on a new connection. */
  ObservedRequest copyForResend() {
    return new ObservedRequest(id, destination, idempotent, timeoutMillis, true);
  }

  /** Its last byte was written. */
  void sentAt(long nowNanos) {
    sentNanos = nowNanos;
  }

  /** The client gave it up; it has ended, unless it had ended before. */
  void cancelledAt(long nowNanos) {
    cancelledNanos = nowNanos;
    end(Outcome.CANCELLED, nowNanos);
  }

  /** Its connection ended before a response. */
  void connectionLostAt(long nowNanos) {
    end(Outcome.CONNECTION_LOST, nowNanos);
  }

  /**
   * A response was read.
   *
   * @param how outcome that the response states
   * @param matches whether its body is the one that a worker produces for this request
   * @param nowNanos time of the response
   */
  void respondedAt(Outcome how, boolean matches, long nowNanos) {
    responses.incrementAndGet();
    responseMatches = responseMatches && matches;
    end(how, nowNanos);
  }

  private void end(Outcome how, long nowNanos) {
    if (outcome == Outcome.PENDING) {
      endedNanos = nowNanos;
      outcome = how;
    }
  }

  /** It is being sent again on a new connection; the checks judge the resend. */
  void resending() {
    resent = true;
  }

  /** Whether it crossed the close of its connection: it was sent shortly before the end. */
  boolean crossedClose() {
    return endedNanos - sentNanos < MAX_CROSSING_NANOS + CheckTolerances.MEASUREMENT_NANOS;
  }

  /** The resend was refused by a router that shuts down; it was never taken. */
  void resendRefused() {
    resent = true;
  }

  /** The resend found no router. */
  void resendFailed() {
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

  /** When the client's timeout expires. */
  long deadlineNanos() {
    return sentNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
  }

  Outcome outcome() {
    return outcome;
  }

  boolean isPending() {
    return outcome == Outcome.PENDING;
  }

  int responses() {
    return responses.get();
  }

  boolean responseMatches() {
    return responseMatches;
  }

  boolean wasResent() {
    return resent;
  }
}
