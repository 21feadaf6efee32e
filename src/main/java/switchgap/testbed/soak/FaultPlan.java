package switchgap.testbed.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Draws the faults of one run from its seed; two or three overlap at a time. */
final class FaultPlan {
  private static final int MIN_DURATION_MILLIS = 300;
  private static final int MAX_DURATION_MILLIS = 3000;
  private static final int MEAN_OVERLAP = 3;

  /** Faults start and end before the last second, so that the run ends without any. */
  private static final int QUIET_END_MILLIS = 1000;

  private FaultPlan() {}

  /**
   * Draws the faults. Those of types that are left out are drawn as well, so that the others stay
   * the same.
   *
   * @param seed of the draws
   * @param seconds length of the run
   * @param leftOut types that are not played
   * @return the faults to play, by their start
   */
  static List<PlannedFault> draw(long seed, int seconds, Set<SoakFaultType> leftOut) {
    Random random = new Random(seed);
    int span = seconds * 1000 - QUIET_END_MILLIS;
    int count = Math.max(2, MEAN_OVERLAP * span * 2 / (MIN_DURATION_MILLIS + MAX_DURATION_MILLIS));
    List<PlannedFault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      SoakFaultType type = SoakFaultType.values()[random.nextInt(SoakFaultType.values().length)];
      int duration =
          MIN_DURATION_MILLIS + random.nextInt(MAX_DURATION_MILLIS - MIN_DURATION_MILLIS);
      int start = random.nextInt(Math.max(1, span - duration));
      PlannedFault fault = new PlannedFault(type, start, duration, random.nextLong());
      if (!leftOut.contains(type)) {
        faults.add(fault);
      }
    }
    faults.sort(Comparator.comparingInt(PlannedFault::startMillis));
    return faults;
  }
}
