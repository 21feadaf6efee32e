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
  private static final int WORKER_COUNT = 6;
  private static final long FIRST_WORKER_ID = 1000;

  private final IndexAllocator indices = new IndexAllocator();
  private final Map<Long, WorkerState> states = new HashMap<>();
  private final Map<Long, Duration> startTimes = new HashMap<>();

  /** Lists all workers; those that have never been listed are ready. */
  void listAll(PolicyEvents events) {
    for (long workerId = FIRST_WORKER_ID; workerId < FIRST_WORKER_ID + WORKER_COUNT; workerId++) {
      states.putIfAbsent(workerId, WorkerState.READY);
    }
    list(events, true);
  }

  /** Lists all workers as ready. */
  void listAllReady(PolicyEvents events) {
    for (long workerId = FIRST_WORKER_ID; workerId < FIRST_WORKER_ID + WORKER_COUNT; workerId++) {
      states.put(workerId, WorkerState.READY);
    }
    list(events, true);
  }

  /** Changes the state of a random worker, which may also restart, and lists all workers. */
  void change(PolicyEvents events, SplittableRandom random, Duration now) {
    long workerId = FIRST_WORKER_ID + random.nextInt(WORKER_COUNT);
    WorkerState state = WorkerState.values()[random.nextInt(3)];
    states.put(workerId, state);
    if (state == WorkerState.READY && random.nextBoolean()) {
      startTimes.put(workerId, now.minus(millis(random.nextInt(2000))));
    }
    list(events, random.nextBoolean());
  }

  private void list(PolicyEvents events, boolean complete) {
    events.endpointListStarted(complete);
    states.forEach((workerId, state) -> list(events, workerId, state));
    events.endpointListEnded();
  }

  private void list(PolicyEvents events, long workerId, WorkerState state) {
    if (state == WorkerState.GONE && indices.find(workerId) < 0) {
      return;
    }
    int worker = indices.allocate(workerId);
    int zone = PolicyInvariants.zone(workerId);
    int cell = PolicyInvariants.cell(workerId);
    events.endpointListed(
        new EndpointEntry(worker, workerId, state, zone, cell, 0, 1, startTimes.get(workerId)));
  }

  /** Asserts that a worker that gets an attempt or a load command is ready. */
  void assertReady(int worker) {
    assertThat(states.get(idOf(worker))).as("state of the worker").isEqualTo(WorkerState.READY);
  }

  long idOf(int worker) {
    return indices.idOf(worker);
  }

  /** The index of a worker, negative if it has none. */
  int indexOf(long workerId) {
    return indices.find(workerId);
  }

  /** When a worker's process started, null if that was long ago. */
  Duration startedAt(int worker) {
    return startTimes.get(idOf(worker));
  }

  void released(int worker) {
    startTimes.remove(idOf(worker));
    indices.release(worker);
  }
}
