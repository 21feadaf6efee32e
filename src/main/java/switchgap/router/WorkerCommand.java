package switchgap.router;

import java.time.Duration;

/**
 * A load command, a query of replicas, an unload or a probe in flight at a worker; it ends once.
 * Belongs to the event loop, but for the attachment.
 */
public final class WorkerCommand {
  /** The function of a command that concerns none. */
  static final int NO_FUNCTION = -1;

  private final WorkerEntry worker;
  private final int function;
  private final Duration sentAt;
  private volatile Object attachment;
  private boolean ended;
  private TimerQueue.Timer timeout;

  /** A command to a worker, for a function's index or {@link #NO_FUNCTION}. */
  WorkerCommand(WorkerEntry worker, int function, Duration sentAt) {
    this.worker = worker;
    this.function = function;
    this.sentAt = sentAt;
  }

  /** When the policy gave it, since the router's start. */
  public Duration sentAt() {
    return sentAt;
  }

  /** What the transport attached to it, or null. Any thread. */
  public Object attachment() {
    return attachment;
  }

  /** Keeps state of the transport with it; the core does not read it. Any thread. */
  public void attach(Object transportState) {
    attachment = transportState;
  }

  /** The worker that it was sent to. */
  WorkerEntry worker() {
    return worker;
  }

  /** Index of its function, or {@link #NO_FUNCTION}. */
  int function() {
    return function;
  }

  /** Its timeout was scheduled with this timer. */
  void timeoutScheduled(TimerQueue.Timer timer) {
    timeout = timer;
  }

  /** The timer of its timeout; null before that was scheduled. */
  TimerQueue.Timer timeout() {
    return timeout;
  }

  /** Ends it; returns whether this is its first end, the one that counts. */
  boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }
}
