package switchgap.testbed.emulator;

import java.util.List;

/**
 * The execution slots of a worker. An execution waits in its function's queue until both a replica
 * of the function and the worker have a free slot; it then waits for I/O and finally shares the
 * cores with other executions. Used only on the scheduler's thread.
 */
final class ExecutionSlots {
  private final WorkerHardware.Compute compute;
  private final Scheduler scheduler;
  private final ProcessorSharing processors;
  private ReplicaManager replicaManager;
  private int inFlight;
  private int waitingForIo;

  ExecutionSlots(WorkerHardware hardware, Scheduler scheduler, ColdStart coldStart) {
    this.compute = hardware.compute();
    this.scheduler = scheduler;
    this.processors =
        new ProcessorSharing(compute, scheduler, coldStart, this::executionsCompleted);
  }

  /** Sets the replica manager, whose functions' queues are served when a slot becomes free. */
  void setReplicaManager(ReplicaManager newReplicaManager) {
    replicaManager = newReplicaManager;
  }

  void stop() {
    processors.stop();
  }

  void setSlowdown(double factor) {
    processors.setSlowdown(factor);
  }

  /** Whether the executions in flight have reached the number of slots plus the queue limit. */
  boolean isFull() {
    return inFlight >= compute.slots() + compute.queueLimit();
  }

  /** Number of executions that are queued or running. */
  int inFlight() {
    return inFlight;
  }

  /** Number of queued executions. */
  int queued() {
    return inFlight - occupiedSlots();
  }

  /** Share of the cores that are busy, from 0 to 1. */
  double utilization() {
    return processors.utilization();
  }

  private int occupiedSlots() {
    return processors.runningCount() + waitingForIo;
  }

  void enqueue(EmulatedExecution execution) {
    inFlight++;
    execution.function().enqueue(execution, scheduler.now());
  }

  /** Removes an execution from its queue; a running execution continues. */
  void cancel(EmulatedExecution execution) {
    inFlight -= execution.function().cancelQueued(execution) ? 1 : 0;
  }

  /** Starts queued executions of a function while slots are free. */
  void startQueued(LoadedFunction function) {
    while (function.hasQueued() && function.hasFreeSlot() && occupiedSlots() < compute.slots()) {
      processors.advance();
      start(function.startNext());
    }
    processors.scheduleUpdate();
  }

  private void start(EmulatedExecution execution) {
    execution.notifyStarted();
    double ioTime = execution.function().model().ioTime();
    if (ioTime > 0) {
      waitingForIo++;
      scheduler.after((long) ioTime, () -> ioEnded(execution));
    } else {
      processors.add(execution);
    }
  }

  private void ioEnded(EmulatedExecution execution) {
    processors.advance();
    waitingForIo--;
    processors.add(execution);
    processors.scheduleUpdate();
  }

  private void executionsCompleted(List<EmulatedExecution> executions) {
    for (EmulatedExecution execution : executions) {
      inFlight--;
      execution.function().executionEnded(scheduler.now());
      execution.notifyEnded(WorkerOutcome.SUCCEEDED);
      startQueued(execution.function());
    }
    if (!executions.isEmpty()) {
      startQueuedForAllFunctions();
    }
  }

  private void startQueuedForAllFunctions() {
    for (LoadedFunction function : replicaManager.functions()) {
      if (function.hasQueued()) {
        startQueued(function);
      }
    }
  }

  /** Ends all queued executions of a function that has no replica. */
  void failQueued(LoadedFunction function) {
    for (EmulatedExecution execution : function.queued()) {
      cancel(execution);
      execution.notifyEnded(WorkerOutcome.NOT_LOADED);
    }
  }
}
