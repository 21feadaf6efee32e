package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.testbed.scenario.Scenario;

/**
 * Figures about the service levels of a trial's routers.
 *
 * @param changes all changes, in order of time
 * @param commonChangeCount number of changes of the levels that apply to all tenants
 * @param tenantChangeCounts number of changes of each tenant's own level, by the tenant's name
 * @param maxChangesInFourMinStays largest number of changes that one router made within four times
 *     its minimum time at a level
 * @param secondsAtLevel seconds at each level, as a mean over the routers; empty without admission
 *     control
 * @param recoverySeconds seconds from the start of the final period of low load until all routers
 *     have returned to full service for the rest of the trial, or {@link #NO_RECOVERY}
 */
record LevelFigures(
    List<RouterLevelChange> changes,
    int commonChangeCount,
    Map<String, Integer> tenantChangeCounts,
    int maxChangesInFourMinStays,
    Map<ServiceLevel, Double> secondsAtLevel,
    long recoverySeconds) {
  /** The fleet was never overloaded, or a router was below full service at the end of the trial. */
  static final long NO_RECOVERY = -1;

  /** Load as a share of capacity; below it no router has a reason to reduce service. */
  private static final double LOW_LOAD_LIMIT = 0.7;

  /** Load as a share of capacity; above it the fleet is overloaded. */
  private static final double OVERLOAD_LIMIT = 1;

  private static final int MIN_STAYS_IN_WINDOW = 4;
  private static final double MILLIS_PER_SECOND = 1000;

  /**
   * Computes the figures after the test bed's run has ended. {@code samples} has one entry per
   * second.
   */
  static LevelFigures of(
      Scenario scenario, VirtualTimeTestBed testBed, List<SecondSample> samples) {
    List<RouterLevelChange> changes = testBed.levelChanges();
    return new LevelFigures(
        changes,
        (int) changes.stream().filter(RouterLevelChange::isCommon).count(),
        tenantChangeCounts(scenario, changes),
        maxChangesInFourMinStays(testBed.routers(), changes),
        secondsAtLevel(testBed.routers()),
        recoverySeconds(samples));
  }

  private static Map<String, Integer> tenantChangeCounts(
      Scenario scenario, List<RouterLevelChange> changes) {
    Map<String, Integer> counts = new TreeMap<>();
    for (RouterLevelChange change : changes) {
      if (!change.isCommon()) {
        counts.merge(tenantName(scenario, change.change().tenant()), 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns the name of a tenant by its index in the routers' settings. */
  static String tenantName(Scenario scenario, int tenantIndex) {
    return List.copyOf(scenario.tenantShares().keySet()).get(tenantIndex);
  }

  private static int maxChangesInFourMinStays(
      List<VirtualTimeRouter> routers, List<RouterLevelChange> changes) {
    int maxChanges = 0;
    for (int routerIndex = 0; routerIndex < routers.size(); routerIndex++) {
      AdmissionController admission = routers.get(routerIndex).gate().controller();
      if (admission != null) {
        Duration window = admission.minStay().multipliedBy(MIN_STAYS_IN_WINDOW);
        maxChanges = Math.max(maxChanges, maxChangesWithin(window, routerIndex, changes));
      }
    }
    return maxChanges;
  }

  private static int maxChangesWithin(
      Duration window, int routerIndex, List<RouterLevelChange> changes) {
    int maxChanges = 0;
    ArrayDeque<Duration> changeTimesInWindow = new ArrayDeque<>();
    for (RouterLevelChange change : changes) {
      if (change.routerIndex() == routerIndex && change.isCommon()) {
        Duration changeTime = change.change().time();
        while (!changeTimesInWindow.isEmpty()
            && changeTime.minus(changeTimesInWindow.peek()).compareTo(window) > 0) {
          changeTimesInWindow.poll();
        }
        changeTimesInWindow.add(changeTime);
        maxChanges = Math.max(maxChanges, changeTimesInWindow.size());
      }
    }
    return maxChanges;
  }

  private static Map<ServiceLevel, Double> secondsAtLevel(List<VirtualTimeRouter> routers) {
    Map<ServiceLevel, Double> seconds = new TreeMap<>();
    for (VirtualTimeRouter router : routers) {
      AdmissionController admission = router.gate().controller();
      if (admission == null) {
        continue;
      }
      for (ServiceLevel level : ServiceLevel.values()) {
        double secondsPerRouter =
            admission.timeAt(level).toMillis() / MILLIS_PER_SECOND / routers.size();
        seconds.merge(level, secondsPerRouter, Double::sum);
      }
    }
    return seconds;
  }

  private static long recoverySeconds(List<SecondSample> samples) {
    if (samples.stream().noneMatch(sample -> sample.load() > OVERLOAD_LIMIT)) {
      return NO_RECOVERY;
    }
    int lowLoadFromSecond = samples.size();
    while (lowLoadFromSecond > 0 && samples.get(lowLoadFromSecond - 1).load() < LOW_LOAD_LIMIT) {
      lowLoadFromSecond--;
    }
    int fullServiceFromSecond = samples.size();
    while (fullServiceFromSecond > 0
        && samples.get(fullServiceFromSecond - 1).belowFullShare() == 0) {
      fullServiceFromSecond--;
    }
    return fullServiceFromSecond >= samples.size()
        ? NO_RECOVERY
        : Math.max(0, fullServiceFromSecond - lowLoadFromSecond);
  }
}
