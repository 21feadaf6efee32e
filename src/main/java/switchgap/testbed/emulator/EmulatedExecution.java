package switchgap.testbed.emulator;

/** A request that is queued or runs on an emulated worker. On the scheduler's thread. */
public final class EmulatedExecution {
  private final LoadedFunction function;
  private final ExecutionListener listener;
  private final int concurrency;
  private double remainingWork;

  EmulatedExecution(LoadedFunction function, double work, ExecutionListener listener) {
    this.function = function;
    this.remainingWork = work;
    this.listener = listener;
    this.concurrency = function.inFlight();
  }

  LoadedFunction function() {
    return function;
  }

  /** Microseconds of work left on a core of speed 1. */
  double remainingWork() {
    return remainingWork;
  }

  void advance(double workDone) {
    remainingWork -= workDone;
  }

  void notifyStarted() {
    listener.started();
  }

  /** Notifies of the outcome, with the function's concurrency at the request's arrival. */
  void notifyEnded(WorkerOutcome outcome) {
    listener.ended(outcome, concurrency);
  }
}
