package switchgap.testbed.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The replicas of one function on a worker, its executions, and the load commands that wait for
 * replicas. On the scheduler's thread; times in microseconds.
 */
final class LoadedFunction {
  /** A load command that waits until so many replicas are loaded. */
  private record LoadWaiter(int replicas, LoadListener listener) {}

  private final FunctionModel model;
  private final ArrayDeque<EmulatedExecution> queue = new ArrayDeque<>();
  private final List<LoadWaiter> loadWaiters = new ArrayList<>();
  private int replicas;
  private int pendingLoads;
  private int busySlots;
  private int inFlight;
  private long lastUsedAt;

  LoadedFunction(FunctionModel model) {
    this.model = model;
  }

  FunctionModel model() {
    return model;
  }

  /** Replicas ready to run. */
  int replicas() {
    return replicas;
  }

  /** Replicas that are being loaded or queued for it. */
  int pendingLoads() {
    return pendingLoads;
  }

  /** Executions queued or running. */
  int inFlight() {
    return inFlight;
  }

  long lastUsedAt() {
    return lastUsedAt;
  }

  void markUsed(long now) {
    lastUsedAt = now;
  }

  void enqueue(EmulatedExecution execution, long now) {
    inFlight++;
    lastUsedAt = now;
    queue.add(execution);
  }

  /** Takes the next execution off the queue into a slot. */
  EmulatedExecution startNext() {
    busySlots++;
    return queue.poll();
  }

  void executionEnded(long now) {
    busySlots--;
    inFlight--;
    lastUsedAt = now;
  }

  /** Removes an execution from the queue; false where it is not queued. */
  boolean cancelQueued(EmulatedExecution execution) {
    boolean removed = queue.remove(execution);
    inFlight -= removed ? 1 : 0;
    return removed;
  }

  /** The executions queued at present; a copy. */
  List<EmulatedExecution> queued() {
    return List.copyOf(queue);
  }

  boolean hasQueued() {
    return !queue.isEmpty();
  }

  boolean isIdle() {
    return busySlots == 0 && queue.isEmpty();
  }

  boolean hasFreeSlot() {
    return busySlots < replicas * model.slots();
  }

  /** Whether no replica is loaded and none is on its way. */
  boolean isAbsent() {
    return replicas + pendingLoads == 0;
  }

  /** Whether nothing would be lost by forgetting the function. */
  boolean isDisposable() {
    return isAbsent() && inFlight == 0 && loadWaiters.isEmpty();
  }

  /** Adds a replica that needs no load. */
  void replicaAdded(long now) {
    replicas++;
    lastUsedAt = now;
  }

  void loadRequested() {
    pendingLoads++;
  }

  void loadEnded(boolean succeeded, long now) {
    pendingLoads--;
    lastUsedAt = now;
    replicas += succeeded ? 1 : 0;
  }

  /** Unloads the replicas that no execution needs; returns how many these were. */
  int unloadUnused() {
    int unused = unusedReplicas();
    replicas -= unused;
    return unused;
  }

  private int unusedReplicas() {
    if (!queue.isEmpty()) {
      return 0;
    }
    return replicas - (busySlots + model.slots() - 1) / model.slots();
  }

  void awaitReplicas(int wanted, LoadListener listener) {
    loadWaiters.add(new LoadWaiter(wanted, listener));
  }

  /** Notifies the load commands that have their replicas, and all where no load is pending. */
  void notifyLoadWaiters() {
    for (LoadWaiter waiter : List.copyOf(loadWaiters)) {
      boolean satisfied = replicas >= waiter.replicas();
      if (satisfied || pendingLoads == 0) {
        loadWaiters.remove(waiter);
        waiter
            .listener()
            .loadEnded(satisfied ? WorkerOutcome.SUCCEEDED : WorkerOutcome.FAILED, replicas);
      }
    }
  }
}
