package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import switchgap.router.AdmissionGate;
import switchgap.router.RouterCore;

/**
 * The event loop of one router in virtual time: batches events into ticks of the program's own core
 * behind its admission gate, and wakes the core when it is due.
 */
final class VirtualTimeRouter {
  private static final long TICK_MICROS = 1000;
  private static final long NANOS_PER_MICRO = 1000;
  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private final VirtualTimeScheduler scheduler;
  private final long startedAt;
  private final List<Consumer<RouterCore>> events = new ArrayList<>();
  private AdmissionGate gate;
  private boolean tickScheduled;
  private long wakeUpAt = NOT_SCHEDULED;
  private boolean stopped;

  /** A router whose process starts now; it serves from {@link #start} on. */
  VirtualTimeRouter(VirtualTimeScheduler scheduler) {
    this.scheduler = scheduler;
    this.startedAt = scheduler.now();
  }

  void start(AdmissionGate admissionGate) {
    gate = admissionGate;
    post(core -> {});
  }

  AdmissionGate gate() {
    return gate;
  }

  /** Ends the process at once: what it has in flight is lost. */
  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Time since the process started. */
  Duration now() {
    return Duration.ofNanos((scheduler.now() - startedAt) * NANOS_PER_MICRO);
  }

  /** Hands an event to the core's next tick; a stopped router drops it. */
  void post(Consumer<RouterCore> event) {
    if (stopped) {
      return;
    }
    events.add(event);
    if (!tickScheduled) {
      tickScheduled = true;
      scheduler.after(TICK_MICROS, this::tick);
    }
  }

  private void tick() {
    tickScheduled = false;
    if (stopped) {
      return;
    }
    List<Consumer<RouterCore>> batch = new ArrayList<>(events);
    events.clear();
    gate.core().tick(now(), batch);
    long dueAt = nextDueMicros();
    if (dueAt < wakeUpAt || wakeUpAt <= scheduler.now()) {
      scheduleWakeUp(dueAt);
    }
  }

  private long nextDueMicros() {
    Duration nextDue = gate.core().nextDue();
    return nextDue == null ? NOT_SCHEDULED : startedAt + nextDue.toNanos() / NANOS_PER_MICRO + 1;
  }

  private void scheduleWakeUp(long dueAt) {
    wakeUpAt = dueAt;
    scheduler.after(
        dueAt - scheduler.now(),
        () -> {
          if (wakeUpAt == dueAt && !tickScheduled && !stopped) {
            wakeUpAt = NOT_SCHEDULED;
            tick();
          }
        });
  }
}
