package switchgap.testbed.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** The faults of one run, drawn from its seed: two or three at a time. */
final class FaultPlan {
  /**
   * One fault.
   *
   * @param atMillis its begin, since clients began
   * @param lengthMillis how long it lasts
   * @param draw for what else is left to chance: targets and strengths
   */
  record Fault(FaultKind kind, int atMillis, int lengthMillis, long draw) {
    @Override
    public String toString() {
      return kind + " at " + atMillis + " ms for " + lengthMillis + " ms";
    }
  }

  private static final int MIN_LENGTH_MILLIS = 300;
  private static final int MAX_LENGTH_MILLIS = 3000;
  private static final int MEAN_OVERLAP = 3;

  /** Nothing begins so close to the end, and all is over by then. */
  private static final int QUIET_END_MILLIS = 1000;

  private FaultPlan() {}

  /**
   * Draws the faults; those of kinds that are left out are drawn, too, so that the others stay the
   * same.
   */
  static List<Fault> draw(long seed, int seconds, Set<FaultKind> leftOut) {
    Random random = new Random(seed);
    int span = seconds * 1000 - QUIET_END_MILLIS;
    int count = Math.max(2, MEAN_OVERLAP * span * 2 / (MIN_LENGTH_MILLIS + MAX_LENGTH_MILLIS));
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
      int length = MIN_LENGTH_MILLIS + random.nextInt(MAX_LENGTH_MILLIS - MIN_LENGTH_MILLIS);
      int at = random.nextInt(Math.max(1, span - length));
      Fault fault = new Fault(kind, at, length, random.nextLong());
      if (!leftOut.contains(kind)) {
        faults.add(fault);
      }
    }
    faults.sort(Comparator.comparingInt(Fault::atMillis));
    return faults;
  }
}
