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

/** An endpoint list whose workers drain, leave, return and restart at random. */
final class RandomEndpoints {
  private static final int WORKERS = 6;
  private static final long FIRST_WORKER = 1000;

  private final IndexAllocator indices = new IndexAllocator();
  private final Map<Long, WorkerState> states = new HashMap<>();
  private final Map<Long, Duration> startTimes = new HashMap<>();

  /** Lists all workers; those that were never listed are ready. */
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

  /** Changes one worker's state or has it restart. */
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

  /** Rule 3. */
  void assertReady(int worker) {
    assertThat(states.get(nameOf(worker))).as("rule 3").isEqualTo(WorkerState.READY);
  }

  long nameOf(int worker) {
    return indices.idOf(worker);
  }

  /** The index of a worker, negative if it is released. */
  int indexOf(long name) {
    return indices.find(name);
  }

  /** When a worker's process started, null if long ago. */
  Duration startedAt(int worker) {
    return startTimes.get(nameOf(worker));
  }

  void released(int worker) {
    startTimes.remove(nameOf(worker));
    indices.release(worker);
  }
}
