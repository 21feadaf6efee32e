package switchgap.testbed.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

/** Draws the faults of one run from its seed; usually two or three are active at a time. */
final class FaultPlan {
  private static final int MIN_INITIAL_FAULT_MILLIS = 300;
  private static final int MAX_INITIAL_FAULT_MILLIS = 3000;
  private static final int MEAN_CONCURRENT_FAULTS = 3;

  /** Randomly drawn faults end before the last second, so that a run ends without faults. */
  private static final int FAULT_FREE_END_MILLIS = 1000;

  /** Types that {@link #drawInitialTypes} draws; see {@link SoakFaultType#wasAddedLater}. */
  private static final List<SoakFaultType> INITIAL_TYPES =
      Stream.of(SoakFaultType.values()).filter(type -> !type.wasAddedLater()).toList();

  private static final List<SoakFaultType> ADDED_TYPES =
      Stream.of(SoakFaultType.values()).filter(SoakFaultType::wasAddedLater).toList();

  /** Mean time between the starts of two faults of the added types. */
  private static final int MEAN_ADDED_FAULT_INTERVAL_MILLIS = 2500;

  /**
   * Faults of the added types last at least as long as the hosting platform needs to notice them.
   */
  private static final int MIN_ADDED_FAULT_MILLIS = 1500;

  private static final int MAX_ADDED_FAULT_MILLIS = 9000;

  /** Start of the first restart, and of the outage in the profile that has one. */
  private static final int FIRST_RESTART_MILLIS = 2500;

  private static final int RESTART_INTERVAL_MILLIS = 1500;
  private static final int MAX_RESTART_DURATION_MILLIS = 3000;

  private FaultPlan() {}

  /** Draws faults of all types by {@link #drawInitialTypes} and {@link #drawAddedTypes}. */
  static List<PlannedFault> drawAll(long seed, int seconds, Set<SoakFaultType> excludedTypes) {
    List<PlannedFault> faults = new ArrayList<>();
    faults.addAll(drawInitialTypes(seed, seconds, excludedTypes));
    faults.addAll(drawAddedTypes(seed, seconds, excludedTypes));
    return sortAndFilter(faults, excludedTypes);
  }

  /** Plans restarts of workers at a fixed interval, and no other faults. */
  static List<PlannedFault> drawWorkerRestarts(
      long seed, int seconds, Set<SoakFaultType> excludedTypes) {
    Random random = new Random(seed);
    List<PlannedFault> faults = new ArrayList<>();
    int latestStartMillis = seconds * 1000 - MAX_RESTART_DURATION_MILLIS;
    for (int startMillis = FIRST_RESTART_MILLIS;
        startMillis < latestStartMillis;
        startMillis += RESTART_INTERVAL_MILLIS) {
      int durationMillis = MAX_RESTART_DURATION_MILLIS;
      faults.add(
          new PlannedFault(
              SoakFaultType.WORKER_RESTARTED, startMillis, durationMillis, random.nextLong()));
    }
    return sortAndFilter(faults, excludedTypes);
  }

  /**
   * Plans the restarts of {@link #drawWorkerRestarts} during an outage of the event stream, which
   * lasts until the end of the run.
   */
  static List<PlannedFault> drawWorkerRestartsInOutage(
      long seed, int seconds, Set<SoakFaultType> excludedTypes) {
    List<PlannedFault> faults = new ArrayList<>(drawWorkerRestarts(seed, seconds, excludedTypes));
    int durationMillis = seconds * 1000 - FIRST_RESTART_MILLIS;
    faults.add(
        new PlannedFault(
            SoakFaultType.FEED_UNREACHABLE, FIRST_RESTART_MILLIS, durationMillis, seed));
    return sortAndFilter(faults, excludedTypes);
  }

  private static List<PlannedFault> sortAndFilter(
      List<PlannedFault> faults, Set<SoakFaultType> excludedTypes) {
    return faults.stream()
        .filter(fault -> !excludedTypes.contains(fault.type()))
        .sorted(Comparator.comparingInt(PlannedFault::startMillis))
        .toList();
  }

  /**
   * Draws the faults of the added types, independently of {@link #drawInitialTypes}. They end
   * before the run does, unless the run is shorter than the shortest fault.
   *
   * @param seed seed of the random draws
   * @param seconds duration of the run
   * @param excludedTypes types that are drawn but not injected
   * @return the faults to inject, sorted by their start
   */
  static List<PlannedFault> drawAddedTypes(
      long seed, int seconds, Set<SoakFaultType> excludedTypes) {
    int spanMillis = spanMillis(seconds);
    int maxDurationMillis =
        Math.min(MAX_ADDED_FAULT_MILLIS, Math.max(spanMillis, MIN_ADDED_FAULT_MILLIS + 1));
    int count = Math.max(2, spanMillis / MEAN_ADDED_FAULT_INTERVAL_MILLIS);
    FaultDistribution distribution =
        new FaultDistribution(ADDED_TYPES, count, MIN_ADDED_FAULT_MILLIS, maxDurationMillis);
    return sortAndFilter(distribution.draw(new Random(~seed), spanMillis), excludedTypes);
  }

  /**
   * Draws the faults of the initial types. Faults of excluded types are drawn and then removed, so
   * that an exclusion does not change the other faults.
   *
   * @param seed seed of the random draws
   * @param seconds duration of the run
   * @param excludedTypes types that are drawn but not injected
   * @return the faults to inject, sorted by their start
   */
  static List<PlannedFault> drawInitialTypes(
      long seed, int seconds, Set<SoakFaultType> excludedTypes) {
    int spanMillis = spanMillis(seconds);
    int count =
        Math.max(
            2,
            MEAN_CONCURRENT_FAULTS
                * spanMillis
                * 2
                / (MIN_INITIAL_FAULT_MILLIS + MAX_INITIAL_FAULT_MILLIS));
    FaultDistribution distribution =
        new FaultDistribution(
            INITIAL_TYPES, count, MIN_INITIAL_FAULT_MILLIS, MAX_INITIAL_FAULT_MILLIS);
    return sortAndFilter(distribution.draw(new Random(seed), spanMillis), excludedTypes);
  }

  private static int spanMillis(int seconds) {
    return seconds * 1000 - FAULT_FREE_END_MILLIS;
  }

  /** Number, types and durations of the faults to draw. */
  private record FaultDistribution(
      List<SoakFaultType> types, int count, int minDurationMillis, int maxDurationMillis) {
    /** The order of the draws must not change: reports give a seed to reproduce its faults. */
    List<PlannedFault> draw(Random random, int spanMillis) {
      List<PlannedFault> faults = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        SoakFaultType type = types.get(random.nextInt(types.size()));
        int durationMillis =
            minDurationMillis + random.nextInt(maxDurationMillis - minDurationMillis);
        int startMillis = random.nextInt(Math.max(1, spanMillis - durationMillis));
        faults.add(new PlannedFault(type, startMillis, durationMillis, random.nextLong()));
      }
      return faults;
    }
  }
}
