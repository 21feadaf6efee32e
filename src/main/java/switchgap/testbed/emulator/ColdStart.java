package switchgap.testbed.emulator;

import java.util.ArrayDeque;

/**
 * The warm-up of a worker: its capacity grows linearly from a share to the whole, and while it is
 * cold more work than a multiple of its capacity within a window crashes it. Times in microseconds.
 */
final class ColdStart {
  private record Arrival(long at, double work) {}

  private final EmulatedWorker.Hardware hardware;
  private final long startedAt;
  private final boolean cold;
  private final ArrayDeque<Arrival> window = new ArrayDeque<>();
  private double workInWindow;

  ColdStart(EmulatedWorker.Hardware hardware, long startedAt, boolean cold) {
    this.hardware = hardware;
    this.startedAt = startedAt;
    this.cold = cold;
  }

  boolean cold() {
    return cold;
  }

  long startedAt() {
    return startedAt;
  }

  /** Share of the full capacity at a time. */
  double capacityShare(long now) {
    if (!cold || now - startedAt >= hardware.warmUpTime()) { // also where no warm-up is stated
      return 1;
    }
    double initial = hardware.initialCapacityShare();
    return Math.min(
        1, initial + (1 - initial) * (now - startedAt) / (double) hardware.warmUpTime());
  }

  /** Counts work that arrives; true when it is more than the cold worker bears. */
  boolean overloadedBy(double work, long now) {
    if (!cold || now - startedAt > hardware.warmUpTime()) {
      return false;
    }
    window.add(new Arrival(now, work));
    workInWindow += work;
    while (now - window.peek().at > hardware.crashWindow()) {
      workInWindow -= window.poll().work;
    }
    double bearable =
        hardware.cores()
            * hardware.speed()
            * capacityShare(now)
            * hardware.crashWindow()
            * hardware.crashMultiple();
    return workInWindow > bearable;
  }
}
