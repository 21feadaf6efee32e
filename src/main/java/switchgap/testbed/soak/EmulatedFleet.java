package switchgap.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;

/** The workers, and the log of events that tells of them. Thread-safe. */
final class EmulatedFleet implements AutoCloseable {
  private static final String SERVING = "SERVING";
  private static final String DRAINING = "DRAINING";
  private static final String DELETED = "DELETED";

  /** The events so far, each as JSON; the first has the number 1. */
  final List<String> events = new CopyOnWriteArrayList<>();

  private final List<WorkerEmulator> serving = new ArrayList<>();
  private final List<WorkerEmulator> all = new ArrayList<>();
  private final SoakRecords records;
  private final ScheduledExecutorService timers;
  private int lastName;

  /** A fleet of workers that are warm. */
  EmulatedFleet(int workers, SoakRecords records, ScheduledExecutorService timers)
      throws IOException {
    this.records = records;
    this.timers = timers;
    for (int i = 0; i < workers; i++) {
      add(0);
    }
    tellAll();
  }

  private WorkerEmulator add(long startedNanos) throws IOException {
    WorkerEmulator worker = new WorkerEmulator("w" + ++lastName, records, timers);
    records.workers.put(worker.name, new SoakRecords.WorkerLife(worker.name, startedNanos));
    serving.add(worker);
    all.add(worker);
    return worker;
  }

  /** Tells the whole list. */
  synchronized void tellAll() {
    List<String> lines = new ArrayList<>();
    for (WorkerEmulator worker : serving) {
      long startedNanos = records.workers.get(worker.name).startedNanos;
      lines.add(line(worker, SERVING, startedNanos == 0 ? 0 : unixMillis(startedNanos)));
    }
    tell(true, lines);
  }

  private static long unixMillis(long nanos) {
    return switchgap.net.WallClock.unixMillis() - (System.nanoTime() - nanos) / 1_000_000;
  }

  /** A serving worker by a drawn number. */
  synchronized WorkerEmulator serving(int draw) {
    return serving.get(Math.floorMod(draw, serving.size()));
  }

  /** A new worker comes, cold, and an old one drains. */
  synchronized WorkerEmulator replace(int draw) throws IOException {
    WorkerEmulator old = serving.remove(Math.floorMod(draw, serving.size()));
    WorkerEmulator created = add(System.nanoTime());
    long startedNanos = records.workers.get(created.name).startedNanos;
    tell(false, List.of(line(old, DRAINING, 0), line(created, SERVING, unixMillis(startedNanos))));
    records.workers.get(old.name).drainedNanos = System.nanoTime();
    return old;
  }

  /** A drained worker is gone. */
  synchronized void remove(WorkerEmulator worker) throws IOException {
    tell(false, List.of(line(worker, DELETED, 0)));
    worker.close();
  }

  private void tell(boolean complete, List<String> lines) {
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
        + worker.name
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
