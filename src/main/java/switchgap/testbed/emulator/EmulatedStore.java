package switchgap.testbed.emulator;

import java.util.function.Consumer;

/**
 * The store that workers fetch functions from. A fetch takes longer in proportion if it starts
 * while more fetches are in flight than the store's capacity. At a multiple of the capacity the
 * store refuses fetches, and after sustained overload it has an outage. Used only on the
 * scheduler's thread.
 */
public final class EmulatedStore implements FunctionFetcher {
  private static final double REFUSAL_CAPACITY_MULTIPLE = 4;
  private static final double OVERLOAD_CAPACITY_MULTIPLE = 3;
  private static final long OVERLOAD_BEFORE_OUTAGE_MICROS = 3_000_000;
  private static final long REFUSAL_DELAY_MICROS = 2_000;
  private static final long NOT_OVERLOADED = -1;
  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final double capacity;
  private final long outageMicros;
  private double slowdown = 1;
  private int inFlight;
  private long overloadedSince = NOT_OVERLOADED;
  private long outageEndsAt;
  private long requestedFetches;

  /**
   * Creates a store that is in service.
   *
   * @param scheduler clock and thread of the store
   * @param recorder log of fetches, refusals and outages
   * @param capacity number of concurrent fetches that are served at full speed
   * @param outageMicros duration of the outage that follows sustained overload, in microseconds
   */
  public EmulatedStore(
      Scheduler scheduler, EventRecorder recorder, double capacity, long outageMicros) {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.capacity = capacity;
    this.outageMicros = outageMicros;
  }

  /** Multiplies the duration of later fetches by a factor; 1 is normal speed. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Number of fetches requested, including refused ones. */
  public long fetches() {
    return requestedFetches;
  }

  @Override
  public void fetch(String worker, String function, long fetchMicros, Consumer<Boolean> callback) {
    long now = scheduler.now();
    requestedFetches++;
    if (now < outageEndsAt || inFlight >= REFUSAL_CAPACITY_MULTIPLE * capacity) {
      recorder.record(
          LogEvent.of(now, "fetch-refused")
              .with("worker", worker)
              .with("function", function)
              .with("in_hand", inFlight));
      scheduler.after(REFUSAL_DELAY_MICROS, () -> callback.accept(false));
      return;
    }
    inFlight++;
    updateOverload(now);
    recorder.record(
        LogEvent.of(now, "fetch")
            .with("worker", worker)
            .with("function", function)
            .with("in_hand", inFlight));
    scheduler.after(
        (long) (fetchMicros * slowdown * Math.max(1, inFlight / capacity)),
        () -> {
          inFlight--;
          callback.accept(scheduler.now() >= outageEndsAt);
        });
  }

  private void updateOverload(long now) {
    if (inFlight <= OVERLOAD_CAPACITY_MULTIPLE * capacity) {
      overloadedSince = NOT_OVERLOADED;
    } else if (overloadedSince < 0) {
      overloadedSince = now;
    } else if (now - overloadedSince > OVERLOAD_BEFORE_OUTAGE_MICROS) {
      outageEndsAt = now + outageMicros;
      overloadedSince = NOT_OVERLOADED;
      recorder.record(LogEvent.of(now, "store-stopped").with("in_hand", inFlight));
    }
  }
}
