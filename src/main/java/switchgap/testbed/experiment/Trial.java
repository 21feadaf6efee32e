package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.scenario.Scenario;

/**
 * One variant over one curve with one seed, and what came of it. Plays when it is made; immutable
 * afterwards.
 */
final class Trial {
  /** Recovery was not reached, or nothing had to be recovered from. */
  static final long NO_RECOVERY = -1;

  private static final double CALM_LOAD = 0.7; // of capacity: nothing more is too much
  private static final int STAYS = 4;
  private static final long MICROS_PER_SECOND = 1_000_000;

  final Variant variant;
  final long seed;
  final long seconds;

  /** Share of the requested weight that was earned. */
  final double service;

  /** The most that capacity alone allows. */
  final double bound;

  /** Share of the requests that met their latency objective, by request class. */
  final Map<String, Double> objectiveMetShare = new TreeMap<>();

  final Map<String, Double> serviceByTenant = new TreeMap<>();

  /** One for each second. */
  final List<SecondSample> samples = new ArrayList<>();

  /** Mean over the routers. */
  final Map<ServiceLevel, Double> secondsAtLevel = new TreeMap<>();

  final List<Emulator.RouterLevelChange> levelChanges;

  /** Changes of the routers' common levels. */
  final int changeCount;

  /** Changes of tenants' own levels. */
  final Map<String, Integer> tenantLevelChanges = new TreeMap<>();

  /** The most changes that one router made within four of its shortest stays. */
  final int maxChangesInFourStays;

  /**
   * Seconds from the first one after which load stays under 0.7 until all routers stay at full
   * service, or {@link #NO_RECOVERY}.
   */
  final long recoverySeconds;

  final long eventCount;

  /** Mean share of the fleet's cores at work. */
  final double meanUtilization;

  Trial(Scenario scenario, long seed, Variant variant, LoadCurve curve) {
    this.variant = variant;
    this.seed = seed;
    this.seconds = curve.seconds();
    double fullRateFactor = scenario.fleetCapacity() / scenario.meanWork() / scenario.requestRate();
    Emulator emulator =
        new Emulator(scenario, seed, variant, micros -> curve.at(micros) * fullRateFactor);
    curve.schedule(emulator.scheduler, emulator.clients);
    double[] utilizationSum = new double[1];
    emulator.play(
        seconds,
        second -> {
          utilizationSum[0] += emulator.meanUtilization();
          samples.add(sample(emulator, curve.at(second * MICROS_PER_SECOND)));
        });
    service = emulator.clients.service();
    bound = CapacityBound.of(scenario, curve);
    recordService(emulator.clients);
    levelChanges = emulator.changes;
    changeCount = (int) levelChanges.stream().filter(Emulator.RouterLevelChange::isCommon).count();
    levelChanges.stream()
        .filter(change -> !change.isCommon())
        .forEach(
            change ->
                tenantLevelChanges.merge(
                    tenantName(scenario, change.change().tenant()), 1, Integer::sum));
    maxChangesInFourStays = maxChangesInFourStays(emulator);
    recordTimeAtLevels(emulator.routers);
    recoverySeconds = recoverySeconds();
    eventCount = emulator.scheduler.events();
    meanUtilization = utilizationSum[0] / Math.max(1, seconds);
  }

  /** The routers' levels now; the service of the second is known later. */
  private static SecondSample sample(Emulator emulator, double load) {
    double levelSum = 0;
    int belowFull = 0;
    for (EmulatedRouter router : emulator.routers) {
      AdmissionController admission = router.gate().admission();
      if (admission != null) {
        admission.tick(router.now());
        levelSum += reduction(admission);
        belowFull += admission.level() == ServiceLevel.FULL ? 0 : 1;
      }
    }
    int routers = emulator.routers.size();
    return new SecondSample(load, 0, levelSum / routers, belowFull / (double) routers);
  }

  /** How far a router's service is reduced: the tenants' own level does not count. */
  private static double reduction(AdmissionController admission) {
    int rank = admission.level().ordinal();
    return rank == 0 ? 0 : rank - 2 + admission.shedFraction();
  }

  private void recordService(EmulatedClients clients) {
    clients
        .tallies()
        .forEach(
            (requestClass, tally) ->
                objectiveMetShare.put(requestClass, tally.objectiveMetShare()));
    clients
        .weightsByTenant()
        .forEach((tenant, weights) -> serviceByTenant.put(tenant, weights.service()));
    clients
        .weightsBySecond()
        .forEach(
            (second, weights) -> {
              if (second < samples.size()) {
                int index = second.intValue();
                samples.set(index, samples.get(index).withService(weights.service()));
              }
            });
  }

  private void recordTimeAtLevels(List<EmulatedRouter> routers) {
    for (EmulatedRouter router : routers) {
      AdmissionController admission = router.gate().admission();
      for (ServiceLevel level : admission == null ? new ServiceLevel[0] : ServiceLevel.values()) {
        secondsAtLevel.merge(
            level, admission.timeAt(level).toMillis() / 1000.0 / routers.size(), Double::sum);
      }
    }
  }

  static String tenantName(Scenario scenario, int index) {
    return List.copyOf(scenario.tenantShares().keySet()).get(index);
  }

  private static int maxChangesInFourStays(Emulator emulator) {
    int maxChanges = 0;
    for (int i = 0; i < emulator.routers.size(); i++) {
      AdmissionController admission = emulator.routers.get(i).gate().admission();
      if (admission != null) {
        Duration window = admission.minStay().multipliedBy(STAYS);
        maxChanges = Math.max(maxChanges, maxChangesWithin(window, i, emulator.changes));
      }
    }
    return maxChanges;
  }

  private static int maxChangesWithin(
      Duration window, int router, List<Emulator.RouterLevelChange> changes) {
    int maxChanges = 0;
    ArrayDeque<Duration> within = new ArrayDeque<>();
    for (Emulator.RouterLevelChange change : changes) {
      if (change.router() == router && change.isCommon()) {
        Duration at = change.change().time();
        while (!within.isEmpty() && at.minus(within.peek()).compareTo(window) > 0) {
          within.poll();
        }
        within.add(at);
        maxChanges = Math.max(maxChanges, within.size());
      }
    }
    return maxChanges;
  }

  private long recoverySeconds() {
    if (samples.stream().noneMatch(sample -> sample.load() > 1)) {
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
