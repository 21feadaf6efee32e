package switchgap.testbed.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The replicas of one function on a worker, its executions, and the load commands that wait for
 * replicas. Used only on the scheduler's thread. Times are in microseconds.
 */
final class LoadedFunction {
  /** A load command that ends when the required number of replicas is loaded. */
  private record WaitingLoadCommand(int requiredReplicas, LoadListener listener) {}

  private final FunctionModel model;
  private final ArrayDeque<EmulatedExecution> queue = new ArrayDeque<>();
  private final List<WaitingLoadCommand> waitingLoadCommands = new ArrayList<>();
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

  /** Number of loaded replicas. */
  int replicas() {
    return replicas;
  }

  /** Number of replicas that are being loaded or are queued for loading. */
  int pendingLoads() {
    return pendingLoads;
  }

  /** Number of executions that are queued or running. */
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

  /** Moves the next execution from the queue to a slot and returns it. */
  EmulatedExecution startNext() {
    busySlots++;
    return queue.poll();
  }

  void executionEnded(long now) {
    busySlots--;
    inFlight--;
    lastUsedAt = now;
  }

  /** Removes an execution from the queue; returns false if it was not queued. */
  boolean cancelQueued(EmulatedExecution execution) {
    boolean removed = queue.remove(execution);
    inFlight -= removed ? 1 : 0;
    return removed;
  }

  /** A copy of the queue. */
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

  /** Whether no replica is loaded, being loaded or queued for loading. */
  boolean isAbsent() {
    return replicas + pendingLoads == 0;
  }

  /** Whether the function has no replicas, executions or load commands and can be removed. */
  boolean isRemovable() {
    return isAbsent() && inFlight == 0 && waitingLoadCommands.isEmpty();
  }

  /** Adds a replica that was not loaded through {@link #loadRequested}. */
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

  /** Unloads the replicas that no execution uses; returns their number. */
  int unloadUnusedReplicas() {
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

  void awaitReplicas(int requiredReplicas, LoadListener listener) {
    waitingLoadCommands.add(new WaitingLoadCommand(requiredReplicas, listener));
  }

  /**
   * Ends the load commands whose replicas are loaded. If no load is pending, ends all others as
   * failed.
   */
  void endFinishedLoadCommands() {
    for (WaitingLoadCommand command : List.copyOf(waitingLoadCommands)) {
      boolean hasRequiredReplicas = replicas >= command.requiredReplicas();
      if (hasRequiredReplicas || pendingLoads == 0) {
        waitingLoadCommands.remove(command);
        command
            .listener()
            .loadEnded(
                hasRequiredReplicas ? WorkerOutcome.SUCCEEDED : WorkerOutcome.FAILED, replicas);
      }
    }
  }
}
