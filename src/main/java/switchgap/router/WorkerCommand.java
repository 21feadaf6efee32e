package switchgap.router;

import java.time.Duration;

/**
 * A load command, replica query, unload or load probe in flight at a worker. It ends once. Confined
 * to the event loop thread, except for the attachment, which any thread may access.
 */
public final class WorkerCommand {
  /** The function index of a command without a function. */
  static final int NO_FUNCTION = -1;

  private final WorkerEntry worker;
  private final int function;
  private final Duration sentAt;
  private volatile Object attachment;
  private boolean hasEnded;
  private TimerQueue.Timer timeoutTimer;

  /** Creates a command in flight; {@code function} is an index or {@link #NO_FUNCTION}. */
  WorkerCommand(WorkerEntry worker, int function, Duration sentAt) {
    this.worker = worker;
    this.function = function;
    this.sentAt = sentAt;
  }

  /** The time at which the policy issued the command, since the router's start. */
  public Duration sentAt() {
    return sentAt;
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

  /** The worker to which it is sent. */
  WorkerEntry worker() {
    return worker;
  }

  /** Index of the function, or {@link #NO_FUNCTION}. */
  int function() {
    return function;
  }

  void setTimeoutTimer(TimerQueue.Timer timer) {
    timeoutTimer = timer;
  }

  /** The timer of the timeout; null until it is scheduled. */
  TimerQueue.Timer timeoutTimer() {
    return timeoutTimer;
  }

  /** Ends the command; returns false if it had ended already. */
  boolean end() {
    boolean isFirstEnd = !hasEnded;
    hasEnded = true;
    return isFirstEnd;
  }
}
