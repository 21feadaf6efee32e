package switchgap.testbed.emulator;

import java.util.function.BiConsumer;

/** A request that is queued or runs on an emulated worker. On the scheduler's thread. */
public final class EmulatedExecution {
  private final LoadedFunction function;
  private final Runnable startHandler;
  private final BiConsumer<WorkerOutcome, Integer> callback;
  private final int concurrency;
  private double remainingWork;

  EmulatedExecution(
      LoadedFunction function,
      double work,
      Runnable startHandler,
      BiConsumer<WorkerOutcome, Integer> callback) {
    this.function = function;
    this.remainingWork = work;
    this.startHandler = startHandler;
    this.callback = callback;
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
    startHandler.run();
  }

  /** Notifies of the outcome, with the function's concurrency at the request's arrival. */
  void notifyEnded(WorkerOutcome outcome) {
    callback.accept(outcome, concurrency);
  }
}
