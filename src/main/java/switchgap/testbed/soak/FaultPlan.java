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
    int span = spanMillis(seconds);
    int maxDuration =
        Math.min(MAX_DURATION_APART_MILLIS, Math.max(span, MIN_DURATION_APART_MILLIS + 1));
    int count = Math.max(2, span / MILLIS_PER_FAULT_APART);
    Draw draw = new Draw(TYPES_APART, count, MIN_DURATION_APART_MILLIS, maxDuration);
    return sorted(draw.faults(new Random(~seed), span), leftOut);
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
    int span = spanMillis(seconds);
    int count = Math.max(2, MEAN_OVERLAP * span * 2 / (MIN_DURATION_MILLIS + MAX_DURATION_MILLIS));
    Draw draw = new Draw(FIRST_TYPES, count, MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
    return sorted(draw.faults(new Random(seed), span), leftOut);
  }

  private static int spanMillis(int seconds) {
    return seconds * 1000 - QUIET_END_MILLIS;
  }

  /** What is drawn: the number of faults, of which types and of which durations. */
  private record Draw(
      List<SoakFaultType> types, int count, int minDurationMillis, int maxDurationMillis) {
    /** The order of the draws stays, or a seed would draw other faults than in an old report. */
    List<PlannedFault> faults(Random random, int spanMillis) {
      List<PlannedFault> faults = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        SoakFaultType type = types.get(random.nextInt(types.size()));
        int duration = minDurationMillis + random.nextInt(maxDurationMillis - minDurationMillis);
        int start = random.nextInt(Math.max(1, spanMillis - duration));
        faults.add(new PlannedFault(type, start, duration, random.nextLong()));
      }
      return faults;
    }
  }
}
