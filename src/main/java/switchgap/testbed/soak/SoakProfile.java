package switchgap.testbed.soak;

import java.util.List;
import java.util.Set;

/** Which faults a soak plays. */
public enum SoakProfile {
  /** All types, drawn from the seed, two or three at a time. */
  MIXED,
  /** Workers drain, restart and move, and the event stream tells it. */
  DISCOVERY_UP,
  /** The same, and the event stream is out of reach from the third second on. */
  DISCOVERY_DOWN;

  /**
   * The faults to play, by their start.
   *
   * @param seed of the draws
   * @param seconds length of the run
   * @param leftOut types that are not played
   */
  List<PlannedFault> plan(long seed, int seconds, Set<SoakFaultType> leftOut) {
    return switch (this) {
      case MIXED -> FaultPlan.drawAll(seed, seconds, leftOut);
      case DISCOVERY_UP -> FaultPlan.drawWorkerRestarts(seed, seconds, leftOut);
      case DISCOVERY_DOWN -> FaultPlan.drawWorkerRestartsInOutage(seed, seconds, leftOut);
    };
  }
}
