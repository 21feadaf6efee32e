package switchgap.testbed.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Loads and unloads the replicas on a worker within its limits of memory and concurrent loads, and
 * periodically unloads idle functions. Used only on the scheduler's thread.
 */
final class ReplicaManager {
  private static final long IDLE_CHECK_PERIOD_MICROS = 250_000;
  private static final double MAX_SEEDED_MEMORY_SHARE = 0.6;
  private static final int QUEUED_LOADS_PER_CONCURRENT_LOAD = 2;

  /** Receives the results of loads. */
  interface Listener {
    /** A load failed, and the function has no other replica or load for its queued executions. */
    void functionUnavailable(LoadedFunction function);

    /** A load succeeded or failed, and the next queued load was started. */
    void loadEnded(LoadedFunction function);
  }

  private final WorkerHardware.ReplicaLimits limits;
  private final Scheduler scheduler;
  private final FunctionFetcher store;
  private final String workerName;
  private final SplittableRandom random;
  private final Listener listener;
  private final Map<String, LoadedFunction> functions = new HashMap<>();
  private final ArrayDeque<LoadedFunction> loadQueue = new ArrayDeque<>();
  private double slowdown = 1;
  private double reservedMemoryMb;
  private int activeLoads;
  private boolean stopped;

  ReplicaManager(
      WorkerHardware.ReplicaLimits limits,
      Scheduler scheduler,
      FunctionFetcher store,
      String workerName,
      SplittableRandom random,
      Listener listener) {
    this.limits = limits;
    this.scheduler = scheduler;
    this.store = store;
    this.workerName = workerName;
    this.random = random;
    this.listener = listener;
    unloadIdleFunctions();
  }

  void stop() {
    stopped = true;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Returns the function of a model; creates it if it does not exist. */
  LoadedFunction function(FunctionModel model) {
    return functions.computeIfAbsent(model.name(), name -> new LoadedFunction(model));
  }

  /** A copy of the list of current functions. */
  List<LoadedFunction> functions() {
    return List.copyOf(functions.values());
  }

  int replicas(String functionName) {
    LoadedFunction loadedFunction = functions.get(functionName);
    return loadedFunction == null ? 0 : loadedFunction.replicas();
  }

  /** Number of loaded replicas by function name, sorted; functions without replicas are omitted. */
  Map<String, Integer> replicas() {
    Map<String, Integer> replicas = new TreeMap<>();
    functions.forEach(
        (name, loadedFunction) -> {
          if (loadedFunction.replicas() > 0) {
            replicas.put(name, loadedFunction.replicas());
          }
        });
    return replicas;
  }

  /** Adds a loaded replica without a fetch, up to a share of the memory. */
  void seedReplica(FunctionModel model) {
    if (reservedMemoryMb + model.memoryMb() <= limits.memoryMb() * MAX_SEEDED_MEMORY_SHARE) {
      function(model).replicaAdded(scheduler.now());
      reservedMemoryMb += model.memoryMb();
    }
  }

  /** Unloads the replicas of a function that no execution uses. */
  void unload(String functionName) {
    LoadedFunction loadedFunction = functions.get(functionName);
    if (loadedFunction != null) {
      unloadUnusedReplicas(loadedFunction);
    }
  }

  /** Loads one more replica; returns false if the load queue is full or memory is insufficient. */
  boolean load(LoadedFunction function) {
    boolean queueFull =
        activeLoads >= limits.concurrentLoads()
            && loadQueue.size() >= QUEUED_LOADS_PER_CONCURRENT_LOAD * limits.concurrentLoads();
    if (queueFull || !ensureFreeMemory(function.model().memoryMb())) {
      return false;
    }
    reservedMemoryMb += function.model().memoryMb();
    function.loadRequested();
    if (activeLoads < limits.concurrentLoads()) {
      startLoad(function);
    } else {
      loadQueue.add(function);
    }
    return true;
  }

  /**
   * Unloads the least recently used idle functions until the memory is free; returns false if no
   * further function can be unloaded.
   */
  private boolean ensureFreeMemory(double memoryMb) {
    while (reservedMemoryMb + memoryMb > limits.memoryMb()) {
      LoadedFunction leastRecentlyUsed = null;
      for (LoadedFunction loadedFunction : functions.values()) {
        boolean unloadable = loadedFunction.replicas() > 0 && loadedFunction.isIdle();
        if (unloadable
            && (leastRecentlyUsed == null
                || loadedFunction.lastUsedAt() < leastRecentlyUsed.lastUsedAt())) {
          leastRecentlyUsed = loadedFunction;
        }
      }
      if (leastRecentlyUsed == null) {
        return false;
      }
      unloadUnusedReplicas(leastRecentlyUsed);
    }
    return true;
  }

  private void unloadUnusedReplicas(LoadedFunction function) {
    reservedMemoryMb -= function.unloadUnusedReplicas() * function.model().memoryMb();
  }

  private void startLoad(LoadedFunction function) {
    activeLoads++;
    long loadTime = function.model().loadTime();
    long fetchTime = (long) (loadTime * limits.fetchShare());
    store.fetch(
        workerName,
        function.model().name(),
        fetchTime,
        fetched -> {
          if (stopped) {
            return;
          }
          boolean success = fetched && random.nextDouble() >= limits.loadFailureShare();
          long initializationTime = fetched ? (long) ((loadTime - fetchTime) * slowdown) : 0;
          scheduler.after(initializationTime, () -> loadEnded(function, success));
        });
  }

  private void loadEnded(LoadedFunction function, boolean success) {
    if (stopped) {
      return;
    }
    activeLoads--;
    function.loadEnded(success, scheduler.now());
    if (!success) {
      reservedMemoryMb -= function.model().memoryMb();
    }
    function.endFinishedLoadCommands();
    if (function.isAbsent()) {
      listener.functionUnavailable(function);
    }
    if (!loadQueue.isEmpty()) {
      startLoad(loadQueue.poll());
    }
    listener.loadEnded(function);
  }

  private void unloadIdleFunctions() {
    if (stopped) {
      return;
    }
    long now = scheduler.now();
    for (Iterator<LoadedFunction> iterator = functions.values().iterator(); iterator.hasNext(); ) {
      LoadedFunction loadedFunction = iterator.next();
      if (now - loadedFunction.lastUsedAt() > limits.keepAlive() && loadedFunction.isIdle()) {
        unloadUnusedReplicas(loadedFunction);
      }
      if (loadedFunction.isRemovable()) {
        iterator.remove();
      }
    }
    scheduler.after(IDLE_CHECK_PERIOD_MICROS, this::unloadIdleFunctions);
  }
}
