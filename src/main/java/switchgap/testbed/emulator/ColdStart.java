package switchgap.testbed.emulator;

import java.util.ArrayDeque;

/**
 * The warm-up of a worker after a cold start. Its capacity grows linearly from an initial share to
 * full capacity. During the warm-up, the worker crashes if the work that arrives within a time
 * window exceeds a multiple of its current capacity. Times are in microseconds.
 */
final class ColdStart {
  private record Arrival(long arrivedAt, double work) {}

  private final WorkerHardware.Compute compute;
  private final WorkerHardware.WarmUp warmUp;
  private final long startedAt;
  private final boolean startedCold;
  private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();
  private double recentWork;

  ColdStart(WorkerHardware hardware, long startedAt, boolean startedCold) {
    this.compute = hardware.compute();
    this.warmUp = hardware.warmUp();
    this.startedAt = startedAt;
    this.startedCold = startedCold;
  }

  boolean startedCold() {
    return startedCold;
  }

  long startedAt() {
    return startedAt;
  }

  /** Returns the share of the full capacity that is available at {@code now}. */
  double capacityShare(long now) {
    // With a configured duration of 0 the formula below would divide 0 by 0.
    if (!startedCold || now - startedAt >= warmUp.duration()) {
      return 1;
    }
    double initialShare = warmUp.initialCapacityShare();
    return Math.min(
        1, initialShare + (1 - initialShare) * (now - startedAt) / (double) warmUp.duration());
  }

  /** Adds arriving work; returns whether it overloads the cold worker, which then crashes. */
  boolean addWorkAndCheckOverload(double work, long now) {
    if (!startedCold || now - startedAt > warmUp.duration()) {
      return false;
    }
    recentArrivals.add(new Arrival(now, work));
    recentWork += work;
    while (now - recentArrivals.peek().arrivedAt > warmUp.crashWindow()) {
      recentWork -= recentArrivals.poll().work;
    }
    double crashThreshold =
        compute.cores()
            * compute.speed()
            * capacityShare(now)
            * warmUp.crashWindow()
            * warmUp.crashMultiple();
    return recentWork > crashThreshold;
  }
}
