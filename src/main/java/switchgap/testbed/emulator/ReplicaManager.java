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
    /** A load ended that leaves no replica and none on its way: what waits for one fails. */
    void functionUnavailable(LoadedFunction function);

    /** A load ended, in success or not, and the next one was started. */
    void loadEnded(LoadedFunction function);
  }

  private final EmulatedWorker.Hardware hardware;
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
      EmulatedWorker.Hardware hardware,
      Scheduler scheduler,
      FunctionFetcher store,
      String worker,
      SplittableRandom random,
      Listener listener) {
    this.hardware = hardware;
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

  /** The function's entry, which is created where absent. */
  LoadedFunction entry(FunctionModel model) {
    return functions.computeIfAbsent(model.name(), name -> new LoadedFunction(model));
  }

  /** The functions known at present; a copy. */
  List<LoadedFunction> entries() {
    return List.copyOf(functions.values());
  }

  int replicas(String function) {
    LoadedFunction entry = functions.get(function);
    return entry == null ? 0 : entry.replicas;
  }

  /** Number of replicas by function, sorted by name; functions without one are left out. */
  Map<String, Integer> replicas() {
    Map<String, Integer> replicas = new TreeMap<>();
    functions.forEach(
        (name, entry) -> {
          if (entry.replicas > 0) {
            replicas.put(name, entry.replicas);
          }
        });
    return replicas;
  }

  /** Adds a replica that needs no load, while there is room. */
  void seed(FunctionModel model) {
    if (usedMemoryMb + model.memoryMb() <= hardware.memoryMb() * MAX_SEEDED_MEMORY_SHARE) {
      LoadedFunction entry = entry(model);
      entry.replicas++;
      entry.lastUsedAt = scheduler.now();
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
        activeLoads >= hardware.concurrentLoads()
            && loadQueue.size() >= QUEUED_LOADS_PER_CONCURRENT_LOAD * hardware.concurrentLoads();
    if (queueFull || !makeRoom(function.model.memoryMb())) {
      return false;
    }
    usedMemoryMb += function.model.memoryMb();
    function.loading++;
    if (activeLoads < hardware.concurrentLoads()) {
      startLoad(function);
    } else {
      loadQueue.add(function);
    }
    return true;
  }

  /**
   * Unloads the least recently used idle functions until there is room; false where there is none.
   */
  private boolean makeRoom(double memoryMb) {
    while (usedMemoryMb + memoryMb > hardware.memoryMb()) {
      LoadedFunction oldest = null;
      for (LoadedFunction entry : functions.values()) {
        boolean unloadable = entry.replicas > 0 && entry.isIdle();
        if (unloadable && (oldest == null || entry.lastUsedAt < oldest.lastUsedAt)) {
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
    int unused = function.unusedReplicas();
    function.replicas -= unused;
    usedMemoryMb -= unused * function.model.memoryMb();
  }

  private void startLoad(LoadedFunction function) {
    activeLoads++;
    long loadTime = function.model.loadTime();
    long fetchTime = (long) (loadTime * hardware.fetchShare());
    store.fetch(
        worker,
        function.model.name(),
        fetchTime,
        fetched -> {
          if (stopped) {
            return;
          }
          boolean success = fetched && random.nextDouble() >= hardware.loadFailureShare();
          long startTime = fetched ? (long) ((loadTime - fetchTime) * slowdown) : 0;
          scheduler.after(startTime, () -> loadEnded(function, success));
        });
  }

  private void loadEnded(LoadedFunction function, boolean success) {
    if (stopped) {
      return;
    }
    activeLoads--;
    function.loading--;
    function.lastUsedAt = scheduler.now();
    if (success) {
      function.replicas++;
    } else {
      usedMemoryMb -= function.model.memoryMb();
    }
    answerLoadCommands(function);
    if (function.isAbsent()) {
      listener.functionUnavailable(function);
    }
    if (!loadQueue.isEmpty()) {
      startLoad(loadQueue.poll());
    }
    listener.loadEnded(function);
  }

  private static void answerLoadCommands(LoadedFunction function) {
    for (LoadedFunction.LoadWaiter waiter : List.copyOf(function.loadWaiters)) {
      boolean satisfied = function.replicas >= waiter.replicas();
      if (satisfied || function.loading == 0) {
        function.loadWaiters.remove(waiter);
        waiter
            .callback()
            .accept(
                satisfied ? EmulatedWorker.Outcome.OK : EmulatedWorker.Outcome.FAILED,
                function.replicas);
      }
    }
  }

  private void unloadIdle() {
    if (stopped) {
      return;
    }
    long now = scheduler.now();
    for (Iterator<LoadedFunction> iterator = functions.values().iterator(); iterator.hasNext(); ) {
      LoadedFunction entry = iterator.next();
      if (now - entry.lastUsedAt > hardware.keepAlive() && entry.isIdle()) {
        unloadUnused(entry);
      }
      if (entry.isAbsent() && entry.inFlight == 0 && entry.loadWaiters.isEmpty()) {
        iterator.remove();
      }
    }
    scheduler.after(IDLE_CHECK_PERIOD_MICROS, this::unloadIdle);
  }
}
