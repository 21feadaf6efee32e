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
 * How a trial's routers changed their service levels.
 *
 * @param changes all changes, in their order
 * @param commonChangeCount changes of the routers' common levels
 * @param tenantChangeCounts changes of tenants' own levels, by tenant
 * @param maxChangesInFourStays the most changes that one router made within four of its shortest
 *     stays at a level
 * @param secondsAtLevel time at each level, mean over the routers; empty without admission control
 * @param recoverySeconds seconds from when load stays calm until all routers stay at full service,
 *     or {@link #NO_RECOVERY}
 */
record LevelFigures(
    List<RouterLevelChange> changes,
    int commonChangeCount,
    Map<String, Integer> tenantChangeCounts,
    int maxChangesInFourStays,
    Map<ServiceLevel, Double> secondsAtLevel,
    long recoverySeconds) {
  /** Recovery was not reached, or nothing had to be recovered from. */
  static final long NO_RECOVERY = -1;

  private static final double CALM_LOAD = 0.7; // of capacity: nothing more is too much
  private static final double FULL_LOAD = 1;
  private static final int STAYS = 4;
  private static final double MILLIS_PER_SECOND = 1000;

  /** The figures of a test bed that has played, with its samples of each second. */
  static LevelFigures of(
      Scenario scenario, VirtualTimeTestBed testBed, List<SecondSample> samples) {
    List<RouterLevelChange> changes = testBed.levelChanges();
    return new LevelFigures(
        changes,
        (int) changes.stream().filter(RouterLevelChange::isCommon).count(),
        tenantChangeCounts(scenario, changes),
        maxChangesInFourStays(testBed.routers(), changes),
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

  /** Name of a tenant by its index in the routers' settings. */
  static String tenantName(Scenario scenario, int tenant) {
    return List.copyOf(scenario.tenantShares().keySet()).get(tenant);
  }

  private static int maxChangesInFourStays(
      List<VirtualTimeRouter> routers, List<RouterLevelChange> changes) {
    int maxChanges = 0;
    for (int i = 0; i < routers.size(); i++) {
      AdmissionController admission = routers.get(i).gate().controller();
      if (admission != null) {
        Duration window = admission.minStay().multipliedBy(STAYS);
        maxChanges = Math.max(maxChanges, maxChangesWithin(window, i, changes));
      }
    }
    return maxChanges;
  }

  private static int maxChangesWithin(
      Duration window, int router, List<RouterLevelChange> changes) {
    int maxChanges = 0;
    ArrayDeque<Duration> within = new ArrayDeque<>();
    for (RouterLevelChange change : changes) {
      if (change.router() == router && change.isCommon()) {
        Duration changedAt = change.change().time();
        while (!within.isEmpty() && changedAt.minus(within.peek()).compareTo(window) > 0) {
          within.poll();
        }
        within.add(changedAt);
        maxChanges = Math.max(maxChanges, within.size());
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
        double atLevel = admission.timeAt(level).toMillis() / MILLIS_PER_SECOND / routers.size();
        seconds.merge(level, atLevel, Double::sum);
      }
    }
    return seconds;
  }

  private static long recoverySeconds(List<SecondSample> samples) {
    if (samples.stream().noneMatch(sample -> sample.load() > FULL_LOAD)) {
      return NO_RECOVERY;
    }
    int calmFrom = samples.size();
    while (calmFrom > 0 && samples.get(calmFrom - 1).load() < CALM_LOAD) {
      calmFrom--;
    }
    int fullFrom = samples.size();
    while (fullFrom > 0 && samples.get(fullFrom - 1).belowFullShare() == 0) {
      fullFrom--;
    }
    return fullFrom >= samples.size() ? NO_RECOVERY : Math.max(0, fullFrom - calmFrom);
  }
}
