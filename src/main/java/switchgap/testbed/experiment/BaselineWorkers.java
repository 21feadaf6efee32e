package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.WorkerState;

/**
 * The workers that the baseline policy knows: their states in the endpoint list, the attempts in
 * flight at each, and the next choice among the ready ones.
 */
final class BaselineWorkers {
  private final BaselineChoice choice;
  private final SplittableRandom random;
  private final Map<Integer, WorkerState> states = new HashMap<>();
  private final Map<Integer, Integer> attemptsInFlight = new HashMap<>();
  private final List<Integer> ready = new ArrayList<>();
  private int nextInRotation;

  BaselineWorkers(BaselineChoice choice, long seed) {
    this.choice = choice;
    this.random = new SplittableRandom(seed);
  }

  /** A new endpoint list begins; a complete one names every worker that is left. */
  void listStarted(boolean complete) {
    if (complete) {
      states.replaceAll((worker, state) -> WorkerState.GONE);
    }
  }

  void listed(EndpointEntry entry) {
    states.put(entry.worker(), entry.state());
  }

  void listEnded() {
    ready.clear();
    ready.addAll(inState(WorkerState.READY));
  }

  /** The workers that are gone and have no attempt in flight. */
  List<Integer> goneAndIdle() {
    return inState(WorkerState.GONE).stream()
        .filter(worker -> attemptsInFlight.getOrDefault(worker, 0) == 0)
        .toList();
  }

  private List<Integer> inState(WorkerState wanted) {
    List<Integer> workers = new ArrayList<>();
    states.forEach(
        (worker, state) -> {
          if (state == wanted) {
            workers.add(worker);
          }
        });
    return workers;
  }

  void forget(int worker) {
    states.remove(worker);
  }

  boolean isReady(int worker) {
    return states.get(worker) == WorkerState.READY;
  }

  boolean noneReady() {
    return ready.isEmpty();
  }

  /** Chooses a ready worker; there must be one. */
  int chooseReady() {
    return switch (choice) {
      case RANDOM -> ready.get(random.nextInt(ready.size()));
      case ROUND_ROBIN -> ready.get(nextInRotation++ % ready.size());
    };
  }

  void attemptStarted(int worker) {
    attemptsInFlight.merge(worker, 1, Integer::sum);
  }

  void attemptEnded(int worker) {
    attemptsInFlight.merge(worker, -1, Integer::sum);
  }
}
