package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.WorkerState;

/**
 * The workers that the baseline policy uses: their states in the endpoint list, the number of
 * attempts in flight at each, and the selection of the next ready worker.
 */
final class BaselineWorkers {
  private final BaselineChoice choice;
  private final SplittableRandom random;
  private final Map<Integer, WorkerState> stateByWorker = new HashMap<>();
  private final Map<Integer, Integer> attemptsInFlightByWorker = new HashMap<>();
  private final List<Integer> readyWorkers = new ArrayList<>();
  private int nextRoundRobinIndex;

  BaselineWorkers(BaselineChoice choice, long seed) {
    this.choice = choice;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Starts an update of the endpoint list. Workers that a complete list doesn't contain are gone.
   */
  void endpointListStarted(boolean complete) {
    if (complete) {
      stateByWorker.replaceAll((worker, state) -> WorkerState.GONE);
    }
  }

  void endpointListed(EndpointEntry entry) {
    stateByWorker.put(entry.worker(), entry.state());
  }

  void endpointListEnded() {
    readyWorkers.clear();
    readyWorkers.addAll(workersInState(WorkerState.READY));
  }

  /** Returns the workers that are gone and have no attempt in flight. */
  List<Integer> goneWithoutAttempts() {
    return workersInState(WorkerState.GONE).stream()
        .filter(worker -> attemptsInFlightByWorker.getOrDefault(worker, 0) == 0)
        .toList();
  }

  private List<Integer> workersInState(WorkerState requiredState) {
    List<Integer> workers = new ArrayList<>();
    stateByWorker.forEach(
        (worker, workerState) -> {
          if (workerState == requiredState) {
            workers.add(worker);
          }
        });
    return workers;
  }

  void remove(int worker) {
    stateByWorker.remove(worker);
  }

  boolean isReady(int worker) {
    return stateByWorker.get(worker) == WorkerState.READY;
  }

  boolean hasNoReadyWorker() {
    return readyWorkers.isEmpty();
  }

  /** Selects a ready worker; at least one must be ready. */
  int chooseReadyWorker() {
    return switch (choice) {
      case RANDOM -> readyWorkers.get(random.nextInt(readyWorkers.size()));
      case ROUND_ROBIN -> readyWorkers.get(nextRoundRobinIndex++ % readyWorkers.size());
    };
  }

  void attemptStarted(int worker) {
    attemptsInFlightByWorker.merge(worker, 1, Integer::sum);
  }

  void attemptEnded(int worker) {
    attemptsInFlightByWorker.merge(worker, -1, Integer::sum);
  }
}
