package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import switchgap.router.AdmissionGate;
import switchgap.router.RouterCore;

/**
 * The event loop of one router in virtual time. It collects events for the next tick of the
 * production {@link RouterCore}, and also runs a tick when the core is next due.
 */
final class VirtualTimeRouter {
  private static final long TICK_MICROS = 1000;
  private static final long NANOS_PER_MICRO = 1000;
  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private final VirtualTimeScheduler scheduler;
  private final long startMicros;
  private final List<Consumer<RouterCore>> pendingEvents = new ArrayList<>();
  private AdmissionGate gate;
  private boolean tickScheduled;
  private long wakeUpMicros = NOT_SCHEDULED;
  private boolean stopped;

  /** Creates a router whose clock starts now; it handles events after {@link #start}. */
  VirtualTimeRouter(VirtualTimeScheduler scheduler) {
    this.scheduler = scheduler;
    this.startMicros = scheduler.now();
  }

  void start(AdmissionGate admissionGate) {
    gate = admissionGate;
    // Schedules the first tick.
    post(core -> {});
  }

  AdmissionGate gate() {
    return gate;
  }

  /** Stops the router at once, like a killed process: its requests in flight are lost. */
  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Returns the time since the router was created. */
  Duration now() {
    return Duration.ofNanos((scheduler.now() - startMicros) * NANOS_PER_MICRO);
  }

  /** Adds an event to the core's next tick; a stopped router ignores it. */
  void post(Consumer<RouterCore> event) {
    if (stopped) {
      return;
    }
    pendingEvents.add(event);
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
    List<Consumer<RouterCore>> batch = new ArrayList<>(pendingEvents);
    pendingEvents.clear();
    gate.core().tick(now(), batch);
    long dueMicros = nextDueMicros();
    if (dueMicros < wakeUpMicros || wakeUpMicros <= scheduler.now()) {
      scheduleWakeUp(dueMicros);
    }
  }

  private long nextDueMicros() {
    Duration nextDue = gate.core().nextDue();
    return nextDue == null ? NOT_SCHEDULED : startMicros + nextDue.toNanos() / NANOS_PER_MICRO + 1;
  }

  private void scheduleWakeUp(long nextWakeUpMicros) {
    wakeUpMicros = nextWakeUpMicros;
    scheduler.after(
        nextWakeUpMicros - scheduler.now(),
        () -> {
          if (wakeUpMicros == nextWakeUpMicros && !tickScheduled && !stopped) {
            wakeUpMicros = NOT_SCHEDULED;
            tick();
          }
        });
  }
}
