package switchgap.testbed.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

/** Draws the faults of one run from its seed; two or three overlap at a time. */
final class FaultPlan {
  private static final int MIN_DURATION_MILLIS = 300;
  private static final int MAX_DURATION_MILLIS = 3000;
  private static final int MEAN_OVERLAP = 3;

  /** Faults start and end before the last second, so that the run ends without any. */
  private static final int QUIET_END_MILLIS = 1000;

  private static final List<SoakFaultType> FIRST_TYPES =
      Stream.of(SoakFaultType.values()).filter(type -> !type.isDrawnApart()).toList();

  private static final List<SoakFaultType> TYPES_APART =
      Stream.of(SoakFaultType.values()).filter(SoakFaultType::isDrawnApart).toList();

  /** Faults drawn apart: one starts in so many milliseconds, in the mean. */
  private static final int MILLIS_PER_FAULT_APART = 2500;

  /** They last as long as the platform needs to notice one, and longer. */
  private static final int MIN_DURATION_APART_MILLIS = 1500;

  private static final int MAX_DURATION_APART_MILLIS = 9000;

  private static final int OUTAGE_START_MILLIS = 2500;
  private static final int RESTART_INTERVAL_MILLIS = 1500;
  private static final int MAX_RESTART_MILLIS = 3000;

  private FaultPlan() {}

  /** Draws faults of all types; see {@link #draw} and {@link #drawApart}. */
  static List<PlannedFault> drawAll(long seed, int seconds, Set<SoakFaultType> leftOut) {
    List<PlannedFault> faults = new ArrayList<>();
    faults.addAll(draw(seed, seconds, leftOut));
    faults.addAll(drawApart(seed, seconds, leftOut));
    return sorted(faults, leftOut);
  }

  /** Draws restarts of workers at an interval, and nothing else. */
  static List<PlannedFault> drawWorkerRestarts(long seed, int seconds, Set<SoakFaultType> leftOut) {
    Random random = new Random(seed);
    List<PlannedFault> faults = new ArrayList<>();
    int last = seconds * 1000 - MAX_RESTART_MILLIS;
    for (int start = OUTAGE_START_MILLIS; start < last; start += RESTART_INTERVAL_MILLIS) {
      int duration = MAX_RESTART_MILLIS;
      faults.add(
          new PlannedFault(SoakFaultType.WORKER_RESTARTED, start, duration, random.nextLong()));
    }
    return sorted(faults, leftOut);
  }

  /** Draws the same restarts, in an outage of the event stream that lasts to the end. */
  static List<PlannedFault> drawWorkerRestartsInOutage(
      long seed, int seconds, Set<SoakFaultType> leftOut) {
    List<PlannedFault> faults = new ArrayList<>(drawWorkerRestarts(seed, seconds, leftOut));
    int duration = seconds * 1000 - OUTAGE_START_MILLIS;
    faults.add(
        new PlannedFault(SoakFaultType.FEED_UNREACHABLE, OUTAGE_START_MILLIS, duration, seed));
    return sorted(faults, leftOut);
  }

  private static List<PlannedFault> sorted(List<PlannedFault> faults, Set<SoakFaultType> leftOut) {
    return faults.stream()
        .filter(fault -> !leftOut.contains(fault.type()))
        .sorted(Comparator.comparingInt(PlannedFault::startMillis))
        .toList();
  }

  /**
   * Draws the faults of the types that are drawn apart; each starts early enough to end in the run,
   * if that is long enough for it.
   *
   * @param seed of the draws
   * @param seconds length of the run
   * @param leftOut types that are not played
   * @return the faults to play, by their start
   */
  static List<PlannedFault> drawApart(long seed, int seconds, Set<SoakFaultType> leftOut) {
    Random random = new Random(~seed);
    int span = seconds * 1000 - QUIET_END_MILLIS;
    List<PlannedFault> faults = new ArrayList<>();
    for (int i = 0; i < Math.max(2, span / MILLIS_PER_FAULT_APART); i++) {
      SoakFaultType type = TYPES_APART.get(random.nextInt(TYPES_APART.size()));
      int range = MAX_DURATION_APART_MILLIS - MIN_DURATION_APART_MILLIS;
      int duration = Math.min(span, MIN_DURATION_APART_MILLIS + random.nextInt(range));
      int start = random.nextInt(Math.max(1, span - duration));
      PlannedFault fault = new PlannedFault(type, start, duration, random.nextLong());
      if (!leftOut.contains(type)) {
        faults.add(fault);
      }
    }
    faults.sort(Comparator.comparingInt(PlannedFault::startMillis));
    return faults;
  }

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
      SoakFaultType type = FIRST_TYPES.get(random.nextInt(FIRST_TYPES.size()));
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
