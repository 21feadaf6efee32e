package switchgap.testbed.emulator;

import java.util.Map;
import java.util.SplittableRandom;

/**
 * One worker's process without its sockets: admits requests to {@link ExecutionSlots}, loads
 * functions by its {@link ReplicaManager}, and crashes from overload while it is cold. On the
 * scheduler's thread.
 */
public final class EmulatedWorker {
  private final WorkerHardware.ReplicaLimits limits;
  private final Scheduler scheduler;
  private final String name;
  private final SplittableRandom random;
  private final Runnable crashHandler;
  private final ColdStart coldStart;
  private final ExecutionSlots slots;
  private final ReplicaManager replicas;
  private boolean dead;

  /**
   * A worker that starts now.
   *
   * @param hardware what it is
   * @param scheduler clock and thread
   * @param store where it fetches functions from
   * @param name its name
   * @param seed seed of its random draws
   * @param cold whether it has to warm up; false for one that has run for long
   * @param crashHandler called when it crashes from overload while cold
   */
  public EmulatedWorker(
      WorkerHardware hardware,
      Scheduler scheduler,
      FunctionFetcher store,
      String name,
      long seed,
      boolean cold,
      Runnable crashHandler) {
    this.limits = hardware.replicas();
    this.scheduler = scheduler;
    this.name = name;
    this.random = new SplittableRandom(seed);
    this.crashHandler = crashHandler;
    this.coldStart = new ColdStart(hardware, scheduler.now(), cold);
    this.slots = new ExecutionSlots(hardware, scheduler, coldStart);
    this.replicas = new ReplicaManager(limits, scheduler, store, name, random, loadListener());
    slots.setReplicas(replicas);
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

  /** Makes executions and loads take this many times as long; 1 ends it. */
  public void setSlowdown(double factor) {
    replicas.setSlowdown(factor);
    slots.setSlowdown(factor);
  }

  /** Ends the process at once: nothing that is in flight gets a response. */
  public void kill() {
    dead = true;
    slots.stop();
    replicas.stop();
  }

  /** Whether the process has ended. */
  public boolean isDead() {
    return dead;
  }

  /** Whether it had to warm up when it started. */
  public boolean startedCold() {
    return coldStart.cold();
  }

  /** Its name. */
  public String name() {
    return name;
  }

  /** When it started, microseconds of the scheduler's clock. */
  public long startedAt() {
    return coldStart.startedAt();
  }

  /** Number of executions queued or running. */
  public int inFlight() {
    return slots.inFlight();
  }

  /** Number of executions queued. */
  public int queued() {
    return slots.queued();
  }

  /** Share of the cores that compute. */
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

  /** Adds a replica that needs no load, while memory allows. */
  public void seedReplica(FunctionModel model) {
    replicas.seed(model);
  }

  /**
   * Runs a request.
   *
   * @param model the function
   * @param listener notified when it starts and when it ends, unless the process ends first
   * @return the execution for {@link #cancel}, null when the outcome is known at once
   */
  public EmulatedExecution execute(FunctionModel model, ExecutionListener listener) {
    if (coldStart.overloadedBy(model.work(), scheduler.now()) && !dead) {
      kill();
      crashHandler.run();
    }
    if (dead) {
      return null;
    }
    LoadedFunction function = replicas.function(model);
    if (slots.isFull()) {
      listener.ended(WorkerOutcome.NO_CAPACITY, function.inFlight());
      return null;
    }
    if (function.isAbsent() && !limits.loadsOnMiss()) {
      listener.ended(WorkerOutcome.NOT_LOADED, function.inFlight());
      return null;
    }
    if (function.isAbsent() && !replicas.load(function)) {
      listener.ended(WorkerOutcome.NO_CAPACITY, function.inFlight());
      return null;
    }
    EmulatedExecution execution = new EmulatedExecution(function, drawWork(model), listener);
    slots.enqueue(execution);
    if (!function.hasFreeSlot() && function.pendingLoads() == 0 && limits.eagerLoads()) {
      replicas.load(function);
    }
    slots.startQueued(function);
    return execution;
  }

  /** The work of one execution: the mean times a lognormal factor of mean 1. */
  private double drawWork(FunctionModel model) {
    double sigma = model.workSigma();
    double factor = Math.exp(sigma * Distributions.gaussian(random) - sigma * sigma / 2);
    return model.work() * factor;
  }

  /**
   * Cancels an execution whose client disconnected: it is removed from the queue, but goes on when
   * it runs.
   */
  public void cancel(EmulatedExecution execution) {
    slots.cancel(execution);
  }

  /** Loads up to so many replicas; the listener receives the number of loaded ones. */
  public void load(FunctionModel model, int wantedReplicas, LoadListener listener) {
    if (dead) {
      return;
    }
    LoadedFunction function = replicas.function(model);
    function.markUsed(scheduler.now());
    int missing = wantedReplicas - function.replicas() - function.pendingLoads();
    for (int i = 0; i < missing; i++) {
      if (!replicas.load(function)) {
        listener.loadEnded(WorkerOutcome.NO_CAPACITY, function.replicas());
        return;
      }
    }
    if (function.replicas() >= wantedReplicas) {
      listener.loadEnded(WorkerOutcome.SUCCEEDED, function.replicas());
    } else {
      function.awaitReplicas(wantedReplicas, listener);
    }
  }

  /** Unloads the idle replicas of a function. */
  public void unload(String function) {
    replicas.unload(function);
  }
}
