package switchgap.testbed.emulator;

/** A request that is queued or running on an emulated worker. Used on the scheduler's thread. */
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

  /** Remaining work, in microseconds on a core of speed 1. */
  double remainingWork() {
    return remainingWork;
  }

  void advance(double workDone) {
    remainingWork -= workDone;
  }

  void notifyStarted() {
    listener.started();
  }

  /** Reports the outcome, with the function's concurrency when the request arrived. */
  void notifyEnded(WorkerOutcome outcome) {
    listener.ended(outcome, concurrency);
  }
}
