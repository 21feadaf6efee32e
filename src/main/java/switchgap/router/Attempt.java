package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;

/**
 * One attempt of a request at a worker. It ends once: on its response, its timeout or its
 * cancellation, whichever comes first. Confined to the event loop thread, except for the
 * attachment, which any thread may access.
 */
public final class Attempt {
  private final PendingRequest request;
  private final int number;
  private final WorkerEntry worker;
  private final Duration sentAt;
  private volatile Object attachment;
  private boolean hasEnded;
  private boolean mayHaveExecuted = true;
  private TimerQueue.Timer timeoutTimer;
  private TimerQueue.Timer sendLimitTimer;

  /**
   * Creates an attempt in flight. {@code number} counts the request's attempts from 0; {@code
   * sentAt} is measured from the router's start.
   */
  public Attempt(PendingRequest request, int number, WorkerEntry worker, Duration sentAt) {
    this.request = request;
    this.number = number;
    this.worker = worker;
    this.sentAt = sentAt;
  }

  /** The request to which this attempt belongs. */
  public PendingRequest request() {
    return request;
  }

  /** The attempt's number within its request, from 0. */
  public int number() {
    return number;
  }

  /** The worker to which it is sent. */
  public WorkerEntry worker() {
    return worker;
  }

  /** The attempt's id on the wire: the request's id and the attempt's number. */
  public String attemptId() {
    return request.id() + "." + number;
  }

  /** The state that the transport attached, or null. May be called from any thread. */
  public Object attachment() {
    return attachment;
  }

  /**
   * Attaches state of the transport, which the core does not read. May be called from any thread.
   */
  public void attach(Object transportState) {
    attachment = transportState;
  }

  /** The time at which the policy started the attempt, since the router's start. */
  Duration sentAt() {
    return sentAt;
  }

  void setTimeoutTimer(TimerQueue.Timer timer) {
    timeoutTimer = timer;
  }

  /** The timer of the timeout; null until it is scheduled. */
  TimerQueue.Timer timeoutTimer() {
    return timeoutTimer;
  }

  void setSendLimitTimer(TimerQueue.Timer timer) {
    sendLimitTimer = timer;
  }

  /** The timer that ends the attempt if it has not been sent; null if there is none. */
  TimerQueue.Timer sendLimitTimer() {
    return sendLimitTimer;
  }

  /** Records the outcome. Called once. */
  void end(AttemptOutcome outcome) {
    hasEnded = true;
    mayHaveExecuted = !outcome.neverExecuted();
  }

  boolean hasEnded() {
    return hasEnded;
  }

  /**
   * Returns false only if the outcome proves that no worker executed the attempt; true while it is
   * in flight.
   */
  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }
}
