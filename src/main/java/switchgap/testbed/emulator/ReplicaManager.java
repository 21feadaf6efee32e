package switchgap.testbed.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Loads and unloads replicas on a worker within its memory and its concurrent loads, and unloads
 * what is idle for long. On the scheduler's thread.
 */
final class ReplicaManager {
  private static final long IDLE_CHECK_PERIOD_MICROS = 250_000;
  private static final double MAX_SEEDED_MEMORY_SHARE = 0.6;
  private static final int QUEUED_LOADS_PER_CONCURRENT_LOAD = 2;

  /** What becomes of loads. */
  interface Listener {
    /** A load ended that leaves no replica and none on its way: what is queued for one fails. */
    void functionUnavailable(LoadedFunction function);

    /** A load ended, in success or not, and the next one was started. */
    void loadEnded(LoadedFunction function);
  }

  private final WorkerHardware.ReplicaLimits limits;
  private final Scheduler scheduler;
  private final FunctionFetcher store;
  private final String worker;
  private final SplittableRandom random;
  private final Listener listener;
  private final Map<String, LoadedFunction> functions = new HashMap<>();
  private final ArrayDeque<LoadedFunction> loadQueue = new ArrayDeque<>();
  private double slowdown = 1;
  private double usedMemoryMb;
  private int activeLoads;
  private boolean stopped;

  ReplicaManager(
      WorkerHardware.ReplicaLimits limits,
      Scheduler scheduler,
      FunctionFetcher store,
      String worker,
      SplittableRandom random,
      Listener listener) {
    this.limits = limits;
    this.scheduler = scheduler;
    this.store = store;
    this.worker = worker;
    this.random = random;
    this.listener = listener;
    unloadIdle();
  }

  void stop() {
    stopped = true;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** The function of a model, which is created where absent. */
  LoadedFunction function(FunctionModel model) {
    return functions.computeIfAbsent(model.name(), name -> new LoadedFunction(model));
  }

  /** The functions known at present; a copy. */
  List<LoadedFunction> functions() {
    return List.copyOf(functions.values());
  }

  int replicas(String function) {
    LoadedFunction entry = functions.get(function);
    return entry == null ? 0 : entry.replicas();
  }

  /** Number of replicas by function, sorted by name; functions without one are left out. */
  Map<String, Integer> replicas() {
    Map<String, Integer> replicas = new TreeMap<>();
    functions.forEach(
        (name, entry) -> {
          if (entry.replicas() > 0) {
            replicas.put(name, entry.replicas());
          }
        });
    return replicas;
  }

  /** Adds a replica that needs no load, while memory allows. */
  void seed(FunctionModel model) {
    if (usedMemoryMb + model.memoryMb() <= limits.memoryMb() * MAX_SEEDED_MEMORY_SHARE) {
      function(model).replicaAdded(scheduler.now());
      usedMemoryMb += model.memoryMb();
    }
  }

  /** Unloads the replicas of a function that are idle. */
  void unload(String function) {
    LoadedFunction entry = functions.get(function);
    if (entry != null) {
      unloadUnused(entry);
    }
  }

  /** Loads one replica more; false where the queue of loads is full or memory is short. */
  boolean load(LoadedFunction function) {
    boolean queueFull =
        activeLoads >= limits.concurrentLoads()
            && loadQueue.size() >= QUEUED_LOADS_PER_CONCURRENT_LOAD * limits.concurrentLoads();
    if (queueFull || !freeMemory(function.model().memoryMb())) {
      return false;
    }
    usedMemoryMb += function.model().memoryMb();
    function.loadRequested();
    if (activeLoads < limits.concurrentLoads()) {
      startLoad(function);
    } else {
      loadQueue.add(function);
    }
    return true;
  }

  /**
   * Unloads the least recently used idle functions until the memory is free; false where it cannot
   * be freed.
   */
  private boolean freeMemory(double memoryMb) {
    while (usedMemoryMb + memoryMb > limits.memoryMb()) {
      LoadedFunction oldest = null;
      for (LoadedFunction entry : functions.values()) {
        boolean unloadable = entry.replicas() > 0 && entry.isIdle();
        if (unloadable && (oldest == null || entry.lastUsedAt() < oldest.lastUsedAt())) {
          oldest = entry;
        }
      }
      if (oldest == null) {
        return false;
      }
      unloadUnused(oldest);
    }
    return true;
  }

  private void unloadUnused(LoadedFunction function) {
    usedMemoryMb -= function.unloadUnused() * function.model().memoryMb();
  }

  private void startLoad(LoadedFunction function) {
    activeLoads++;
    long loadTime = function.model().loadTime();
    long fetchTime = (long) (loadTime * limits.fetchShare());
    store.fetch(
        worker,
        function.model().name(),
        fetchTime,
        fetched -> {
          if (stopped) {
            return;
          }
          boolean success = fetched && random.nextDouble() >= limits.loadFailureShare();
          long startTime = fetched ? (long) ((loadTime - fetchTime) * slowdown) : 0;
          scheduler.after(startTime, () -> loadEnded(function, success));
        });
  }

  private void loadEnded(LoadedFunction function, boolean success) {
    if (stopped) {
      return;
    }
    activeLoads--;
    function.loadEnded(success, scheduler.now());
    if (!success) {
      usedMemoryMb -= function.model().memoryMb();
    }
    function.notifyLoadWaiters();
    if (function.isAbsent()) {
      listener.functionUnavailable(function);
    }
    if (!loadQueue.isEmpty()) {
      startLoad(loadQueue.poll());
    }
    listener.loadEnded(function);
  }

  private void unloadIdle() {
    if (stopped) {
      return;
    }
    long now = scheduler.now();
    for (Iterator<LoadedFunction> iterator = functions.values().iterator(); iterator.hasNext(); ) {
      LoadedFunction entry = iterator.next();
      if (now - entry.lastUsedAt() > limits.keepAlive() && entry.isIdle()) {
        unloadUnused(entry);
      }
      if (entry.isDisposable()) {
        iterator.remove();
      }
    }
    scheduler.after(IDLE_CHECK_PERIOD_MICROS, this::unloadIdle);
  }
}
