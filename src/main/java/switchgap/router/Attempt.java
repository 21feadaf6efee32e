package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;

/**
 * One attempt of a request at a worker; it ends once, by whichever comes first of its response, its
 * timeout and its cancellation. Belongs to the event loop, but for the attachment.
 */
public final class Attempt {
  private final PendingRequest request;
  private final int number;
  private final WorkerEntry worker;
  private final Duration sentAt;
  private volatile Object attachment;
  private boolean ended;
  private boolean mayHaveExecuted = true;
  private TimerQueue.Timer timeout;

  /** The attempt with this number, at a worker, from a time since the router's start on. */
  public Attempt(PendingRequest request, int number, WorkerEntry worker, Duration sentAt) {
    this.request = request;
    this.number = number;
    this.worker = worker;
    this.sentAt = sentAt;
  }

  /** The request that it is an attempt of. */
  public PendingRequest request() {
    return request;
  }

  /** Counts the request's attempts from 0. */
  public int number() {
    return number;
  }

  /** The worker that it was sent to. */
  public WorkerEntry worker() {
    return worker;
  }

  /** Its name on the wire: the request's id and its number. */
  public String attemptId() {
    return request.id() + "." + number;
  }

  /** What the transport attached to it, or null. Any thread. */
  public Object attachment() {
    return attachment;
  }

  /** Keeps state of the transport with it; the core does not read it. Any thread. */
  public void attach(Object transportState) {
    attachment = transportState;
  }

  /** When the policy started it, since the router's start. */
  Duration sentAt() {
    return sentAt;
  }

  /** Its timeout was scheduled with this timer. */
  void timeoutScheduled(TimerQueue.Timer timer) {
    timeout = timer;
  }

  /** The timer of its timeout; null before that was scheduled. */
  TimerQueue.Timer timeout() {
    return timeout;
  }

  /** It ended with an outcome. Called once. */
  void end(AttemptOutcome outcome) {
    ended = true;
    mayHaveExecuted = !outcome.neverExecuted();
  }

  /** Whether it has ended. */
  boolean hasEnded() {
    return ended;
  }

  /** False only where its outcome proves that no worker executed it; true while it is in flight. */
  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }
}
