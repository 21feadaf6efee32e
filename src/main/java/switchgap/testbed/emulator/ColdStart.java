package switchgap.testbed.emulator;

import java.util.ArrayDeque;

/**
 * The warm-up of a worker: its capacity grows linearly from a share to all of it, and while it is
 * cold more work than a multiple of its capacity within a window crashes it. Times in microseconds.
 */
final class ColdStart {
  private record Arrival(long arrivedAt, double work) {}

  private final WorkerHardware.Compute compute;
  private final WorkerHardware.WarmUp warmUp;
  private final long startedAt;
  private final boolean cold;
  private final ArrayDeque<Arrival> window = new ArrayDeque<>();
  private double workInWindow;

  ColdStart(WorkerHardware hardware, long startedAt, boolean cold) {
    this.compute = hardware.compute();
    this.warmUp = hardware.warmUp();
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
    if (!cold || now - startedAt >= warmUp.duration()) { // also where no warm-up is configured
      return 1;
    }
    double initial = warmUp.initialCapacityShare();
    return Math.min(1, initial + (1 - initial) * (now - startedAt) / (double) warmUp.duration());
  }

  /** Counts work that arrives; true when it is more than the cold worker bears. */
  boolean overloadedBy(double work, long now) {
    if (!cold || now - startedAt > warmUp.duration()) {
      return false;
    }
    window.add(new Arrival(now, work));
    workInWindow += work;
    while (now - window.peek().arrivedAt > warmUp.crashWindow()) {
      workInWindow -= window.poll().work;
    }
    double bearable =
        compute.cores()
            * compute.speed()
            * capacityShare(now)
            * warmUp.crashWindow()
            * warmUp.crashMultiple();
    return workInWindow > bearable;
  }
}
