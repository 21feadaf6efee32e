package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.millis;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.WorkerState;
import switchgap.policy.state.IndexAllocator;

/** Endpoint lists in which workers drain, leave, return and restart at random. */
final class RandomEndpoints {
  private static final int WORKERS = 6;
  private static final long FIRST_WORKER = 1000;

  private final IndexAllocator indices = new IndexAllocator();
  private final Map<Long, WorkerState> states = new HashMap<>();
  private final Map<Long, Duration> startTimes = new HashMap<>();

  /** Lists all workers; those that have never been listed are ready. */
  void listInitial(PolicyEvents events) {
    for (long worker = FIRST_WORKER; worker < FIRST_WORKER + WORKERS; worker++) {
      states.putIfAbsent(worker, WorkerState.READY);
    }
    list(events, true);
  }

  /** Lists all workers as ready. */
  void listAllReady(PolicyEvents events) {
    for (long worker = FIRST_WORKER; worker < FIRST_WORKER + WORKERS; worker++) {
      states.put(worker, WorkerState.READY);
    }
    list(events, true);
  }

  /** Changes the state of a random worker, which may also restart, and lists all workers. */
  void change(PolicyEvents events, SplittableRandom random, Duration now) {
    long name = FIRST_WORKER + random.nextInt(WORKERS);
    WorkerState state = WorkerState.values()[random.nextInt(3)];
    states.put(name, state);
    if (state == WorkerState.READY && random.nextBoolean()) {
      startTimes.put(name, now.minus(millis(random.nextInt(2000))));
    }
    list(events, random.nextBoolean());
  }

  private void list(PolicyEvents events, boolean complete) {
    events.endpointListStarted(complete);
    states.forEach((name, state) -> list(events, name, state));
    events.endpointListEnded();
  }

  private void list(PolicyEvents events, long name, WorkerState state) {
    if (state == WorkerState.GONE && indices.find(name) < 0) {
      return;
    }
    int worker = indices.allocate(name);
    int zone = PolicyRules.zone(name);
    int cell = PolicyRules.cell(name);
    events.endpointListed(
        new EndpointEntry(worker, name, state, zone, cell, 0, 1, startTimes.get(name)));
  }

  /** Asserts that a worker that gets an attempt or a load command is ready. */
  void assertReady(int worker) {
    assertThat(states.get(nameOf(worker))).as("state of the worker").isEqualTo(WorkerState.READY);
  }

  long nameOf(int worker) {
    return indices.idOf(worker);
  }

  /** The index of a worker, negative if it has none. */
  int indexOf(long name) {
    return indices.find(name);
  }

  /** When a worker's process started, null if that was long ago. */
  Duration startedAt(int worker) {
    return startTimes.get(nameOf(worker));
  }

  void released(int worker) {
    startTimes.remove(nameOf(worker));
    indices.release(worker);
  }
}
