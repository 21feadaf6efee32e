package switchgap.testbed.emulator;

import java.util.Map;
import java.util.SplittableRandom;

/**
 * The process of a worker, without its sockets. It runs requests in {@link ExecutionSlots}, loads
 * functions with a {@link ReplicaManager}, and crashes if it is overloaded while cold. Used only on
 * the scheduler's thread.
 */
public final class EmulatedWorker {
  private final WorkerHardware.ReplicaLimits replicaLimits;
  private final Scheduler scheduler;
  private final String name;
  private final SplittableRandom random;
  private final Runnable crashHandler;
  private final ColdStart coldStart;
  private final ExecutionSlots slots;
  private final ReplicaManager replicas;
  private boolean killed;

  /**
   * Creates a worker that starts now.
   *
   * @param hardware capabilities of the worker
   * @param scheduler clock and thread of the worker
   * @param store store that functions are fetched from
   * @param name name of the worker
   * @param seed seed of the worker's random draws
   * @param startsCold whether the worker has to warm up; false emulates one that is already warm
   * @param crashHandler called when the worker crashes because of overload while cold
   */
  public EmulatedWorker(
      WorkerHardware hardware,
      Scheduler scheduler,
      FunctionFetcher store,
      String name,
      long seed,
      boolean startsCold,
      Runnable crashHandler) {
    this.replicaLimits = hardware.replicaLimits();
    this.scheduler = scheduler;
    this.name = name;
    this.random = new SplittableRandom(seed);
    this.crashHandler = crashHandler;
    this.coldStart = new ColdStart(hardware, scheduler.now(), startsCold);
    this.slots = new ExecutionSlots(hardware, scheduler, coldStart);
    this.replicas =
        new ReplicaManager(replicaLimits, scheduler, store, name, random, loadListener());
    slots.setReplicaManager(replicas);
  }

  private ReplicaManager.Listener loadListener() {
    return new ReplicaManager.Listener() {
      @Override
      public void functionUnavailable(LoadedFunction function) {
        slots.failQueued(function);
      }

      @Override
      public void loadEnded(LoadedFunction function) {
        slots.startQueued(function);
      }
    };
  }

  /** Multiplies the duration of executions and loads by a factor; 1 is normal speed. */
  public void setSlowdown(double factor) {
    replicas.setSlowdown(factor);
    slots.setSlowdown(factor);
  }

  /** Ends the process immediately: executions in flight receive no response. */
  public void kill() {
    killed = true;
    slots.stop();
    replicas.stop();
  }

  /** Whether the process was killed or has crashed. */
  public boolean isKilled() {
    return killed;
  }

  /** Whether the worker had to warm up after its start. */
  public boolean startedCold() {
    return coldStart.startedCold();
  }

  /** The worker's name. */
  public String name() {
    return name;
  }

  /** The time at which the worker started, in microseconds of the scheduler's clock. */
  public long startedAt() {
    return coldStart.startedAt();
  }

  /** Number of executions that are queued or running. */
  public int inFlight() {
    return slots.inFlight();
  }

  /** Number of queued executions. */
  public int queued() {
    return slots.queued();
  }

  /** Share of the cores that are busy, from 0 to 1. */
  public double utilization() {
    return slots.utilization();
  }

  /** Number of loaded replicas of a function. */
  public int replicas(String function) {
    return replicas.replicas(function);
  }

  /** Number of loaded replicas by function, sorted by name. */
  Map<String, Integer> loadedReplicas() {
    return replicas.replicas();
  }

  /** Adds a loaded replica without a fetch, up to a share of the worker's memory. */
  public void seedReplica(FunctionModel model) {
    replicas.seedReplica(model);
  }

  /**
   * Queues a request for execution.
   *
   * @param model function to execute
   * @param listener notified when the execution starts and ends, unless the process ends first
   * @return the execution, which can be passed to {@link #cancel}; null if it is not queued,
   *     because the listener was already notified of its outcome or the process has ended
   */
  public EmulatedExecution execute(FunctionModel model, ExecutionListener listener) {
    if (coldStart.addWorkAndCheckOverload(model.work(), scheduler.now()) && !killed) {
      kill();
      crashHandler.run();
    }
    if (killed) {
      return null;
    }
    LoadedFunction function = replicas.function(model);
    if (slots.isFull()) {
      listener.ended(WorkerOutcome.NO_CAPACITY, function.inFlight());
      return null;
    }
    if (function.isAbsent() && !replicaLimits.loadsOnMiss()) {
      listener.ended(WorkerOutcome.NOT_LOADED, function.inFlight());
      return null;
    }
    if (function.isAbsent() && !replicas.load(function)) {
      listener.ended(WorkerOutcome.NO_CAPACITY, function.inFlight());
      return null;
    }
    EmulatedExecution execution = new EmulatedExecution(function, drawWork(model), listener);
    slots.enqueue(execution);
    if (!function.hasFreeSlot() && function.pendingLoads() == 0 && replicaLimits.eagerLoads()) {
      replicas.load(function);
    }
    slots.startQueued(function);
    return execution;
  }

  /** Draws the work of one execution: the mean work times a lognormal factor of mean 1. */
  private double drawWork(FunctionModel model) {
    double sigma = model.workSigma();
    double factor = Math.exp(sigma * Distributions.gaussian(random) - sigma * sigma / 2);
    return model.work() * factor;
  }

  /**
   * Cancels an execution whose client disconnected. A queued execution is removed from the queue; a
   * running one continues.
   */
  public void cancel(EmulatedExecution execution) {
    slots.cancel(execution);
  }

  /**
   * Loads replicas until the function has as many as requested; the listener receives the number
   * that is then loaded.
   */
  public void load(FunctionModel model, int requestedReplicas, LoadListener listener) {
    if (killed) {
      return;
    }
    LoadedFunction function = replicas.function(model);
    function.markUsed(scheduler.now());
    int missingReplicas = requestedReplicas - function.replicas() - function.pendingLoads();
    for (int i = 0; i < missingReplicas; i++) {
      if (!replicas.load(function)) {
        listener.loadEnded(WorkerOutcome.NO_CAPACITY, function.replicas());
        return;
      }
    }
    if (function.replicas() >= requestedReplicas) {
      listener.loadEnded(WorkerOutcome.SUCCEEDED, function.replicas());
    } else {
      function.awaitReplicas(requestedReplicas, listener);
    }
  }

  /** Unloads the replicas of a function that no execution uses. */
  public void unload(String function) {
    replicas.unload(function);
  }
}
