package switchgap.testbed.soak;

import java.util.List;
import java.util.Set;

/** Selects the faults of a soak run. */
public enum SoakProfile {
  /** Faults of all types, drawn from the seed, usually two or three at a time. */
  MIXED,
  /** Workers drain, restart and move; the event stream reports it. */
  DISCOVERY_UP,
  /** The same restarts, but the event stream is unavailable from 2.5 s until the end. */
  DISCOVERY_DOWN;

  /**
   * Returns the faults to inject, sorted by their start.
   *
   * @param seed seed of the random draws
   * @param seconds duration of the run
   * @param excludedTypes types that are drawn but not injected
   */
  List<PlannedFault> plan(long seed, int seconds, Set<SoakFaultType> excludedTypes) {
    return switch (this) {
      case MIXED -> FaultPlan.drawAll(seed, seconds, excludedTypes);
      case DISCOVERY_UP -> FaultPlan.drawWorkerRestarts(seed, seconds, excludedTypes);
      case DISCOVERY_DOWN -> FaultPlan.drawWorkerRestartsInOutage(seed, seconds, excludedTypes);
    };
  }
}
