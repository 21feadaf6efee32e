package switchgap.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import switchgap.net.WallClock;

/** The emulated workers, and the endpoint list events that describe them. Thread-safe. */
final class EmulatedFleet implements AutoCloseable {
  private static final String SERVING = "SERVING";
  private static final String DRAINING = "DRAINING";
  private static final String DELETED = "DELETED";

  /** Least number of serving workers that a drain may leave. */
  private static final int MIN_SERVING_WORKERS = 4;

  /** Boot time in events of a worker that was started before the run, drains or is gone. */
  private static final long UNSTATED_BOOT_MILLIS = 0;

  private final List<String> events = new CopyOnWriteArrayList<>();
  private final List<WorkerEmulator> servingWorkers = new ArrayList<>();
  private final List<WorkerEmulator> allWorkers = new ArrayList<>();
  private final SoakRecords records;
  private final ScheduledExecutorService timers;
  private int lastWorkerNumber;
  private int restartCount;

  /** Starts the given number of workers; the endpoint list presents them as warm. */
  EmulatedFleet(int workerCount, SoakRecords records, ScheduledExecutorService timers)
      throws IOException {
    this.records = records;
    this.timers = timers;
    for (int i = 0; i < workerCount; i++) {
      start(WorkerTimeline.warm(nextName()));
    }
    publishCompleteList();
  }

  private String nextName() {
    return "w" + ++lastWorkerNumber;
  }

  private WorkerEmulator start(WorkerTimeline timeline) throws IOException {
    WorkerEmulator worker = new WorkerEmulator(timeline.name(), records, timers);
    records.addWorker(timeline);
    servingWorkers.add(worker);
    allWorkers.add(worker);
    return worker;
  }

  /** Returns a live view of the events as JSON; the first event has the number 1. */
  List<String> events() {
    return Collections.unmodifiableList(events);
  }

  /** Publishes the complete endpoint list. */
  synchronized void publishCompleteList() {
    List<String> targets = new ArrayList<>();
    for (WorkerEmulator worker : servingWorkers) {
      targets.add(targetJson(worker, SERVING, bootMillis(worker)));
    }
    publish(true, targets);
  }

  private long bootMillis(WorkerEmulator worker) {
    WorkerTimeline timeline = records.worker(worker.recordName());
    return timeline.startedDuringRun() ? unixMillis(timeline.startedNanos()) : UNSTATED_BOOT_MILLIS;
  }

  private static long unixMillis(long nanos) {
    return WallClock.unixMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  /** Picks a serving worker by a random number. */
  synchronized WorkerEmulator pickServing(int randomNumber) {
    return servingWorkers.get(Math.floorMod(randomNumber, servingWorkers.size()));
  }

  /**
   * Starts a new worker, which is cold, and makes a serving worker drain.
   *
   * @param randomNumber picks the worker that drains
   * @return the draining worker
   */
  synchronized WorkerEmulator replace(int randomNumber) throws IOException {
    WorkerEmulator replaced =
        servingWorkers.remove(Math.floorMod(randomNumber, servingWorkers.size()));
    replaced.drain();
    WorkerEmulator replacement = start(WorkerTimeline.startedAt(nextName(), System.nanoTime()));
    publish(
        false,
        List.of(
            targetJson(replaced, DRAINING, UNSTATED_BOOT_MILLIS),
            targetJson(replacement, SERVING, bootMillis(replacement))));
    records.worker(replaced.recordName()).markDraining(System.nanoTime());
    return replaced;
  }

  /**
   * Makes a serving worker drain before a restart.
   *
   * @param randomNumber picks the worker
   * @return the draining worker; null if too few workers would be left
   */
  synchronized WorkerEmulator drain(int randomNumber) {
    if (servingWorkers.size() <= MIN_SERVING_WORKERS) {
      return null;
    }
    WorkerEmulator drained =
        servingWorkers.remove(Math.floorMod(randomNumber, servingWorkers.size()));
    drained.drain();
    publish(false, List.of(targetJson(drained, DRAINING, UNSTATED_BOOT_MILLIS)));
    records.worker(drained.recordName()).markDraining(System.nanoTime());
    return drained;
  }

  /**
   * Starts a removed worker again, cold and under the same name.
   *
   * @param changesAddress whether it listens at another port than before
   */
  synchronized void restart(WorkerEmulator stopped, boolean changesAddress) throws IOException {
    restartCount++;
    String recordName = stopped.name() + "#" + restartCount;
    int port = changesAddress ? WorkerEmulator.ANY_PORT : stopped.port();
    WorkerEmulator restarted =
        new WorkerEmulator(stopped.name(), recordName, port, records, timers);
    records.addWorker(WorkerTimeline.startedAt(recordName, System.nanoTime()));
    servingWorkers.add(restarted);
    allWorkers.add(restarted);
    publish(false, List.of(targetJson(restarted, SERVING, bootMillis(restarted))));
  }

  /** Publishes that a draining worker is gone, and stops it. */
  synchronized void remove(WorkerEmulator worker) throws IOException {
    publish(false, List.of(targetJson(worker, DELETED, UNSTATED_BOOT_MILLIS)));
    worker.close();
  }

  private void publish(boolean complete, List<String> targets) {
    events.add(
        "{\"n\":"
            + (events.size() + 1)
            + ",\"members\":{\"rev\":7,\"all\":"
            + complete
            + ",\"targets\":["
            + String.join(",", targets)
            + "]}}");
  }

  private static String targetJson(WorkerEmulator worker, String state, long bootMillis) {
    return "{\"uid\":\""
        + worker.name()
        + "\",\"endpoint\":\""
        + worker.address()
        + "\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":2,\"state\":\""
        + state
        + "\",\"capacity_hint\":4,\"boot_ms\":"
        + bootMillis
        + "}";
  }

  @Override
  public synchronized void close() throws IOException {
    for (WorkerEmulator worker : allWorkers) {
      worker.close();
    }
  }
}
