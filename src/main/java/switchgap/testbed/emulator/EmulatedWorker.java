package switchgap.testbed.emulator;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/**
 * One worker's process without its sockets: queues executions for the slots of replicas and lets
 * them share the cores. On the scheduler's thread.
 */
public final class EmulatedWorker {
  /** How a command to the worker ended. */
  public enum Outcome {
    /** Done. */
    OK,
    /** A repeat known by its idempotency key, answered without running. */
    DROPPED,
    /** The function is not loaded. */
    MISS,
    /** No room in the queue or in memory. */
    FULL,
    /** It failed. */
    FAILED
  }

  /**
   * What a worker is. Times in microseconds.
   *
   * @param cores number of cores
   * @param speed speed of a core
   * @param slots executions that run at a time
   * @param queueLimit executions that wait beyond these
   * @param memoryMb memory for replicas in MB
   * @param concurrentLoads loads at a time
   * @param keepAlive time after which an idle function is unloaded
   * @param loadsOnMiss whether a request for a function that is not loaded loads it
   * @param eagerLoads whether a request that finds all slots busy loads one replica more
   * @param initialCapacityShare share of the capacity at a cold start
   * @param warmUpTime time from a cold start to full capacity
   * @param crashMultiple multiple of its capacity at which a cold worker crashes
   * @param crashWindow window over which that is measured
   * @param fetchShare share of a load's time that is spent on fetching
   * @param loadFailureShare share of the loads that fail
   */
  public record Hardware(
      int cores,
      double speed,
      int slots,
      int queueLimit,
      double memoryMb,
      int concurrentLoads,
      long keepAlive,
      boolean loadsOnMiss,
      boolean eagerLoads,
      double initialCapacityShare,
      long warmUpTime,
      double crashMultiple,
      long crashWindow,
      double fetchShare,
      double loadFailureShare) {}

  /** A request that waits or runs on the worker. */
  public static final class Execution {
    private final LoadedFunction function;
    private final Runnable startHandler;
    private final BiConsumer<Outcome, Integer> callback;
    private final int concurrency;
    private boolean queued;

    /** Microseconds of work on a core of speed 1. */
    double remainingWork;

    Execution(
        LoadedFunction function, Runnable startHandler, BiConsumer<Outcome, Integer> callback) {
      this.function = function;
      this.startHandler = startHandler;
      this.callback = callback;
      this.concurrency = function.inFlight;
    }

    private void end(Outcome outcome) {
      callback.accept(outcome, concurrency);
    }
  }

  private final Hardware hardware;
  private final Scheduler scheduler;
  private final String name;
  private final SplittableRandom random;
  private final Runnable crashHandler;
  private final ColdStart coldStart;
  private final ProcessorSharing processors;
  private final ReplicaManager replicas;
  private int inFlight;
  private int waitingForIo;
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
      Hardware hardware,
      Scheduler scheduler,
      FunctionFetcher store,
      String name,
      long seed,
      boolean cold,
      Runnable crashHandler) {
    this.hardware = hardware;
    this.scheduler = scheduler;
    this.name = name;
    this.random = new SplittableRandom(seed);
    this.crashHandler = crashHandler;
    this.coldStart = new ColdStart(hardware, scheduler.now(), cold);
    this.processors = new ProcessorSharing(hardware, scheduler, coldStart, this::completed);
    this.replicas =
        new ReplicaManager(
            hardware,
            scheduler,
            store,
            name,
            random,
            new ReplicaManager.Listener() {
              @Override
              public void functionUnavailable(LoadedFunction function) {
                failQueued(function);
              }

              @Override
              public void loadEnded(LoadedFunction function) {
                startQueued(function);
              }
            });
  }

  /** Makes executions and loads take this many times as long; 1 ends it. */
  public void slow(double factor) {
    replicas.setSlowdown(factor);
    processors.setSlowdown(factor);
  }

  /** Ends the process at once: nothing that is in flight is answered. */
  public void die() {
    dead = true;
    processors.stop();
    replicas.stop();
  }

  /** Whether the process has ended. */
  public boolean dead() {
    return dead;
  }

  /** Whether it had to warm up when it started. */
  public boolean cold() {
    return coldStart.cold();
  }

  /** Its name. */
  public String name() {
    return name;
  }

  /** When it started, microseconds of the scheduler's clock. */
  public long started() {
    return coldStart.startedAt();
  }

  /** Number of executions queued or running. */
  public int inHand() {
    return inFlight;
  }

  /** Number of executions queued. */
  public int waiting() {
    return inFlight - runningOrWaitingForIo();
  }

  /** Share of the cores that compute. */
  public double busy() {
    return processors.utilization();
  }

  /** Number of loaded replicas of a function. */
  public int standing(String function) {
    return replicas.replicas(function);
  }

  /** Number of loaded replicas by function, sorted by name. */
  Map<String, Integer> loadedReplicas() {
    return replicas.replicas();
  }

  /** Adds a replica that needs no load, while there is room. */
  public void seed(FunctionModel model) {
    replicas.seed(model);
  }

  /**
   * Runs a request.
   *
   * @param model the function
   * @param startHandler called when it starts to run
   * @param callback called once with the outcome and the concurrency of the function that it met,
   *     unless the worker dies
   * @return the execution for {@link #leave}, null when the outcome is known at once
   */
  public Execution infer(
      FunctionModel model, Runnable startHandler, BiConsumer<Outcome, Integer> callback) {
    if (coldStart.overloadedBy(model.work(), scheduler.now()) && !dead) {
      die();
      crashHandler.run();
    }
    if (dead) {
      return null;
    }
    LoadedFunction function = replicas.entry(model);
    if (inFlight >= hardware.slots() + hardware.queueLimit()) {
      callback.accept(Outcome.FULL, function.inFlight);
      return null;
    }
    if (function.isAbsent() && !(hardware.loadsOnMiss() && replicas.load(function))) {
      callback.accept(hardware.loadsOnMiss() ? Outcome.FULL : Outcome.MISS, function.inFlight);
      return null;
    }
    Execution execution = new Execution(function, startHandler, callback);
    execution.remainingWork = model.work() * workFactor(model);
    function.inFlight++;
    inFlight++;
    function.lastUsedAt = scheduler.now();
    function.queue.add(execution);
    execution.queued = true;
    if (!function.hasFreeSlot() && function.loading == 0 && hardware.eagerLoads()) {
      replicas.load(function);
    }
    startQueued(function);
    return execution;
  }

  /** A lognormal factor of mean 1. */
  private double workFactor(FunctionModel model) {
    double sigma = model.workSigma();
    return Math.exp(sigma * Distributions.gaussian(random) - sigma * sigma / 2);
  }

  /**
   * Cancels an execution whose client left: it is removed from the queue, but goes on when it runs.
   */
  public void leave(Execution execution) {
    LoadedFunction function = execution.function;
    if (execution.queued && function.queue.remove(execution)) {
      execution.queued = false;
      function.inFlight--;
      inFlight--;
    }
  }

  /** Loads up to so many replicas; the callback is told how many are loaded. */
  public void hold(FunctionModel model, int copies, BiConsumer<Outcome, Integer> callback) {
    if (dead) {
      return;
    }
    LoadedFunction function = replicas.entry(model);
    function.lastUsedAt = scheduler.now();
    for (int missing = copies - function.replicas - function.loading; missing > 0; missing--) {
      if (!replicas.load(function)) {
        callback.accept(Outcome.FULL, function.replicas);
        return;
      }
    }
    if (function.replicas >= copies) {
      callback.accept(Outcome.OK, function.replicas);
    } else {
      function.loadWaiters.add(new LoadedFunction.LoadWaiter(copies, callback));
    }
  }

  /** Unloads the idle replicas of a function. */
  public void drop(String function) {
    replicas.unload(function);
  }

  private int runningOrWaitingForIo() {
    return processors.running() + waitingForIo;
  }

  private void startQueued(LoadedFunction function) {
    while (!function.queue.isEmpty()
        && function.hasFreeSlot()
        && runningOrWaitingForIo() < hardware.slots()) {
      start(function.queue.poll());
    }
    processors.scheduleUpdate();
  }

  private void start(Execution execution) {
    processors.advance();
    execution.queued = false;
    execution.function.busySlots++;
    execution.startHandler.run();
    double ioTime = execution.function.model.ioTime();
    if (ioTime > 0) {
      waitingForIo++;
      scheduler.after(
          (long) ioTime,
          () -> {
            processors.advance();
            waitingForIo--;
            processors.add(execution);
            processors.scheduleUpdate();
          });
    } else {
      processors.add(execution);
    }
  }

  private void completed(List<Execution> executions) {
    for (Execution execution : executions) {
      LoadedFunction function = execution.function;
      function.busySlots--;
      function.inFlight--;
      inFlight--;
      function.lastUsedAt = scheduler.now();
      execution.end(Outcome.OK);
      startQueued(function);
    }
    if (!executions.isEmpty()) {
      for (LoadedFunction function : replicas.entries()) {
        if (!function.queue.isEmpty()) {
          startQueued(function);
        }
      }
    }
  }

  private void failQueued(LoadedFunction function) {
    for (Execution execution : List.copyOf(function.queue)) {
      leave(execution);
      execution.end(Outcome.MISS);
    }
  }
}
