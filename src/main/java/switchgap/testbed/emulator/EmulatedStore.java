package switchgap.testbed.emulator;

import java.util.function.Consumer;

/**
 * The store that all loads fetch from. A fetch alone takes its own time; beyond its capacity of
 * concurrent fetches all slow down in proportion, at a multiple of it the store refuses, and under
 * sustained overload it stops for a while. On the scheduler's thread.
 */
public final class EmulatedStore implements FunctionFetcher {
  private static final double REFUSAL_MULTIPLE = 4;
  private static final double OVERLOAD_MULTIPLE = 3;
  private static final long MAX_OVERLOAD_MICROS = 3_000_000;
  private static final long REFUSAL_DELAY_MICROS = 2_000;
  private static final long NOT_OVERLOADED = -1;
  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final double capacity;
  private final long outage;
  private double slowdown = 1;
  private int inFlight;
  private long overloadedSince = NOT_OVERLOADED;
  private long stoppedUntil;
  private long fetches;

  /**
   * A store that runs.
   *
   * @param scheduler clock and thread
   * @param recorder log of its fetches
   * @param capacity concurrent fetches that it serves at full speed
   * @param outage microseconds that it stops for after sustained overload
   */
  public EmulatedStore(Scheduler scheduler, EventRecorder recorder, double capacity, long outage) {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.capacity = capacity;
    this.outage = outage;
  }

  /** Makes all later fetches take this many times as long; 1 ends it. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Number of fetches requested, refused ones included. */
  public long fetches() {
    return fetches;
  }

  @Override
  public void fetch(String worker, String function, long micros, Consumer<Boolean> callback) {
    long now = scheduler.now();
    fetches++;
    if (now < stoppedUntil || inFlight >= REFUSAL_MULTIPLE * capacity) {
      recorder.record(
          LogEvent.of(now, "fetch-refused")
              .with("worker", worker)
              .with("function", function)
              .with("in_hand", inFlight));
      scheduler.after(REFUSAL_DELAY_MICROS, () -> callback.accept(false));
      return;
    }
    inFlight++;
    watchOverload(now);
    recorder.record(
        LogEvent.of(now, "fetch")
            .with("worker", worker)
            .with("function", function)
            .with("in_hand", inFlight));
    scheduler.after(
        (long) (micros * slowdown * Math.max(1, inFlight / capacity)),
        () -> {
          inFlight--;
          callback.accept(scheduler.now() >= stoppedUntil);
        });
  }

  private void watchOverload(long now) {
    if (inFlight <= OVERLOAD_MULTIPLE * capacity) {
      overloadedSince = NOT_OVERLOADED;
    } else if (overloadedSince < 0) {
      overloadedSince = now;
    } else if (now - overloadedSince > MAX_OVERLOAD_MICROS) {
      stoppedUntil = now + outage;
      overloadedSince = NOT_OVERLOADED;
      recorder.record(LogEvent.of(now, "store-stopped").with("in_hand", inFlight));
    }
  }
}
