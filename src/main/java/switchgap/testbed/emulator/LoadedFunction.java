package switchgap.testbed.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** The replicas of one function on a worker, and what waits for them. */
final class LoadedFunction {
  /** A load command that waits until so many replicas are loaded. */
  record LoadWaiter(int replicas, BiConsumer<EmulatedWorker.Outcome, Integer> callback) {}

  final FunctionModel model;
  final ArrayDeque<EmulatedWorker.Execution> queue = new ArrayDeque<>();
  final List<LoadWaiter> loadWaiters = new ArrayList<>();

  /** Replicas ready to run. */
  int replicas;

  /** Replicas being loaded or waiting for it. */
  int loading;

  int busySlots;

  /** Executions queued or running. */
  int inFlight;

  long lastUsedAt;

  LoadedFunction(FunctionModel model) {
    this.model = model;
  }

  boolean isIdle() {
    return busySlots == 0 && queue.isEmpty();
  }

  boolean hasFreeSlot() {
    return busySlots < replicas * model.slots();
  }

  boolean isAbsent() {
    return replicas + loading == 0;
  }

  /** Replicas that no execution needs. */
  int unusedReplicas() {
    if (!queue.isEmpty()) {
      return 0;
    }
    return replicas - (busySlots + model.slots() - 1) / model.slots();
  }
}
