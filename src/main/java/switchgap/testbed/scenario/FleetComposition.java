package switchgap.testbed.scenario;

import switchgap.testbed.emulator.WorkerHardware;

/** Assigns a kind, and with it the hardware, to each worker of a scenario. Immutable. */
final class FleetComposition {
  /**
   * Fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over [0, 1), so
   * that any range of worker indexes has each kind in about its share.
   */
  private static final double GOLDEN_RATIO_FRACTION = 0.618034;

  private final ScenarioSettings settings;

  FleetComposition(ScenarioSettings settings) {
    this.settings = settings;
  }

  /** Kind of the worker with this index; the same index always has the same kind. */
  ScenarioSettings.WorkerKind kindOf(int worker) {
    double position = (worker * GOLDEN_RATIO_FRACTION) % 1;
    for (ScenarioSettings.WorkerKind kind : settings.fleet().kinds()) {
      if (position < kind.share()) {
        return kind;
      }
      position -= kind.share();
    }
    return settings.fleet().kinds().get(0);
  }

  /** Compute capacity of a worker, as a number of cores of speed 1. */
  double computeCapacityOf(int worker) {
    ScenarioSettings.WorkerKind kind = kindOf(worker);
    return kind.cores() * kind.speed();
  }

  /** Compute capacity of all workers at the start, as a number of cores of speed 1. */
  double totalComputeCapacity() {
    double sum = 0;
    for (int i = 0; i < settings.fleet().workerCount(); i++) {
      sum += computeCapacityOf(i);
    }
    return sum;
  }

  /** Hardware and limits of the worker with this index. */
  WorkerHardware hardwareOf(int worker) {
    ScenarioSettings.WorkerKind kind = kindOf(worker);
    ScenarioSettings.WorkerLimits limits = settings.fleet().limits();
    ScenarioSettings.InvariantLimits invariantLimits = settings.invariantLimits();
    return new WorkerHardware(
        new WorkerHardware.Compute(
            kind.cores(),
            kind.speed(),
            limits.slotsPerCore() * kind.cores(),
            limits.queuePerCore() * kind.cores()),
        new WorkerHardware.ReplicaLimits(
            kind.memoryMb(),
            limits.concurrentLoads(),
            limits.keepAlive(),
            settings.loadsOnMiss(),
            limits.eagerLoads(),
            limits.fetchShare(),
            limits.loadFailureShare()),
        new WorkerHardware.WarmUp(
            invariantLimits.initialCapacityShare(),
            invariantLimits.warmUpTime(),
            invariantLimits.crashMultiple(),
            invariantLimits.crashWindow()));
  }
}
