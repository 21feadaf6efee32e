package switchgap.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import switchgap.net.WallClock;

/** The workers, and the log of endpoint list events that describe them. Thread-safe. */
final class EmulatedFleet implements AutoCloseable {
  private static final String SERVING = "SERVING";
  private static final String DRAINING = "DRAINING";
  private static final String DELETED = "DELETED";

  /** Workers that serve at any time. */
  private static final int MIN_SERVING = 4;

  /** Boot time of a worker whose start is long past, or is not stated. */
  private static final long NO_BOOT_TIME = 0;

  private final List<String> events = new CopyOnWriteArrayList<>();
  private final List<WorkerEmulator> serving = new ArrayList<>();
  private final List<WorkerEmulator> all = new ArrayList<>();
  private final SoakRecords records;
  private final ScheduledExecutorService timers;
  private int lastNumber;
  private int restarts;

  /** Starts a fleet of workers that are warm. */
  EmulatedFleet(int workers, SoakRecords records, ScheduledExecutorService timers)
      throws IOException {
    this.records = records;
    this.timers = timers;
    for (int i = 0; i < workers; i++) {
      start(WorkerTimeline.warm(nextName()));
    }
    publishAll();
  }

  private String nextName() {
    return "w" + ++lastNumber;
  }

  private WorkerEmulator start(WorkerTimeline timeline) throws IOException {
    WorkerEmulator worker = new WorkerEmulator(timeline.name(), records, timers);
    records.addWorker(timeline);
    serving.add(worker);
    all.add(worker);
    return worker;
  }

  /** The events so far, each as JSON, in a live view; the first has the number 1. */
  List<String> events() {
    return Collections.unmodifiableList(events);
  }

  /** Publishes the complete list. */
  synchronized void publishAll() {
    List<String> lines = new ArrayList<>();
    for (WorkerEmulator worker : serving) {
      lines.add(line(worker, SERVING, bootMillis(worker)));
    }
    publish(true, lines);
  }

  private long bootMillis(WorkerEmulator worker) {
    WorkerTimeline timeline = records.worker(worker.recordName());
    return timeline.startedDuringRun() ? unixMillis(timeline.startedNanos()) : NO_BOOT_TIME;
  }

  private static long unixMillis(long nanos) {
    return WallClock.unixMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  /** A serving worker, chosen by a number drawn at random. */
  synchronized WorkerEmulator serving(int draw) {
    return serving.get(Math.floorMod(draw, serving.size()));
  }

  /**
   * A new worker starts, cold, and an old one begins to drain.
   *
   * @param draw chooses the old worker
   * @return the old worker
   */
  synchronized WorkerEmulator replace(int draw) throws IOException {
    WorkerEmulator old = serving.remove(Math.floorMod(draw, serving.size()));
    old.drain();
    WorkerEmulator created = start(WorkerTimeline.startedAt(nextName(), System.nanoTime()));
    publish(
        false,
        List.of(line(old, DRAINING, NO_BOOT_TIME), line(created, SERVING, bootMillis(created))));
    records.worker(old.recordName()).drainingAt(System.nanoTime());
    return old;
  }

  /**
   * A worker begins to drain, and will be started again.
   *
   * @param draw chooses the worker
   * @return the worker; null where too few would be left
   */
  synchronized WorkerEmulator drain(int draw) {
    if (serving.size() <= MIN_SERVING) {
      return null;
    }
    WorkerEmulator drained = serving.remove(Math.floorMod(draw, serving.size()));
    drained.drain();
    publish(false, List.of(line(drained, DRAINING, NO_BOOT_TIME)));
    records.worker(drained.recordName()).drainingAt(System.nanoTime());
    return drained;
  }

  /**
   * A worker that was removed starts again, cold, under its name.
   *
   * @param moves whether at another address
   */
  synchronized void restart(WorkerEmulator removed, boolean moves) throws IOException {
    restarts++;
    String recordName = removed.name() + "#" + restarts;
    int port = moves ? WorkerEmulator.ANY_PORT : removed.port();
    WorkerEmulator started = new WorkerEmulator(removed.name(), recordName, port, records, timers);
    records.addWorker(WorkerTimeline.startedAt(recordName, System.nanoTime()));
    serving.add(started);
    all.add(started);
    publish(false, List.of(line(started, SERVING, bootMillis(started))));
  }

  /** Ends a draining worker and publishes that it is gone. */
  synchronized void remove(WorkerEmulator worker) throws IOException {
    publish(false, List.of(line(worker, DELETED, NO_BOOT_TIME)));
    worker.close();
  }

  private void publish(boolean complete, List<String> lines) {
    events.add(
        "{\"n\":"
            + (events.size() + 1)
            + ",\"members\":{\"rev\":7,\"all\":"
            + complete
            + ",\"targets\":["
            + String.join(",", lines)
            + "]}}");
  }

  private static String line(WorkerEmulator worker, String state, long bootMillis) {
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
    for (WorkerEmulator worker : all) {
      worker.close();
    }
  }
}
