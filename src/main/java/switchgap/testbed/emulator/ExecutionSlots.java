package switchgap.testbed.emulator;

import java.util.List;

/**
 * The slots of a worker: executions queue for a slot of a replica of their function and for one of
 * the worker's, wait for I/O and share the cores. On the scheduler's thread.
 */
final class ExecutionSlots {
  private final WorkerHardware.Compute compute;
  private final Scheduler scheduler;
  private final ProcessorSharing processors;
  private ReplicaManager replicas;
  private int inFlight;
  private int waitingForIo;

  ExecutionSlots(WorkerHardware hardware, Scheduler scheduler, ColdStart coldStart) {
    this.compute = hardware.compute();
    this.scheduler = scheduler;
    this.processors = new ProcessorSharing(compute, scheduler, coldStart, this::completed);
  }

  /** Sets the replicas whose queues are tried whenever a slot becomes free. */
  void setReplicas(ReplicaManager manager) {
    replicas = manager;
  }

  void stop() {
    processors.stop();
  }

  void setSlowdown(double factor) {
    processors.setSlowdown(factor);
  }

  /** Whether all slots and all places in the queue are taken. */
  boolean isFull() {
    return inFlight >= compute.slots() + compute.queueLimit();
  }

  /** Executions queued or running. */
  int inFlight() {
    return inFlight;
  }

  /** Executions queued. */
  int queued() {
    return inFlight - runningOrWaitingForIo();
  }

  /** Share of the cores that compute. */
  double utilization() {
    return processors.utilization();
  }

  private int runningOrWaitingForIo() {
    return processors.running() + waitingForIo;
  }

  void enqueue(EmulatedExecution execution) {
    inFlight++;
    execution.function().enqueue(execution, scheduler.now());
  }

  /** Removes an execution from its queue; one that runs goes on. */
  void cancel(EmulatedExecution execution) {
    inFlight -= execution.function().cancelQueued(execution) ? 1 : 0;
  }

  /** Starts what is queued for a function while slots are free. */
  void startQueued(LoadedFunction function) {
    while (function.hasQueued()
        && function.hasFreeSlot()
        && runningOrWaitingForIo() < compute.slots()) {
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

  private void completed(List<EmulatedExecution> executions) {
    for (EmulatedExecution execution : executions) {
      inFlight--;
      execution.function().executionEnded(scheduler.now());
      execution.notifyEnded(WorkerOutcome.SUCCEEDED);
      startQueued(execution.function());
    }
    if (!executions.isEmpty()) {
      startQueuedOfAllFunctions();
    }
  }

  private void startQueuedOfAllFunctions() {
    for (LoadedFunction function : replicas.functions()) {
      if (function.hasQueued()) {
        startQueued(function);
      }
    }
  }

  /** Ends everything that is queued for a function without a replica. */
  void failQueued(LoadedFunction function) {
    for (EmulatedExecution execution : function.queued()) {
      cancel(execution);
      execution.notifyEnded(WorkerOutcome.NOT_LOADED);
    }
  }
}
