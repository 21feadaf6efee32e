package switchgap.router;

import java.time.Duration;

/**
 * A load command, a query, an unload or a probe (no function) that is out at a worker; it ends
 * once.
 */
public final class WorkerCommand {
  /** The function of a command that concerns none. */
  static final int NO_FUNCTION = -1;

  /** State that the transport keeps with it; the core does not read it. */
  public volatile Object attachment;

  final WorkerEntry worker;
  final int function;
  final Duration sentAt;
  boolean ended;
  TimerQueue.Timer timeout;

  WorkerCommand(WorkerEntry worker, int function, Duration sentAt) {
    this.worker = worker;
    this.function = function;
    this.sentAt = sentAt;
  }

  /** When the policy gave it. */
  public Duration sentAt() {
    return sentAt;
  }
}
