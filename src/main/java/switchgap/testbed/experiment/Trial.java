package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.scenario.Scenario;

/**
 * The result of running one variant with one scenario, load curve and seed.
 *
 * @param variant variant of the routers
 * @param seed seed of all random draws
 * @param service figures about the service that clients received
 * @param levels figures about the routers' service levels
 * @param samples one sample per second
 * @param meanUtilization mean share of the fleet's cores that were in use
 * @param eventCount number of events of the virtual-time scheduler
 */
record Trial(
    Variant variant,
    long seed,
    ServiceFigures service,
    LevelFigures levels,
    List<SecondSample> samples,
    double meanUtilization,
    long eventCount) {
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Runs a trial in virtual time. */
  static Trial run(Scenario scenario, long seed, Variant variant, LoadCurve curve) {
    VirtualTimeTestBed testBed =
        new VirtualTimeTestBed(scenario, seed, variant, curve.rateFactor(scenario));
    curve.schedulePeriods(testBed.scheduler(), testBed.clients());
    List<SecondSample> samples = new ArrayList<>();
    double[] utilizationSum = new double[1];
    testBed.run(
        curve.seconds(),
        second -> {
          utilizationSum[0] += testBed.meanUtilization();
          samples.add(sample(testBed, curve.loadAt(second * MICROS_PER_SECOND)));
        });
    addService(samples, testBed.clients());
    return new Trial(
        variant,
        seed,
        ServiceFigures.of(testBed.clients(), CapacityBound.maxService(scenario, curve)),
        LevelFigures.of(scenario, testBed, samples),
        samples,
        utilizationSum[0] / Math.max(1, curve.seconds()),
        testBed.scheduler().eventCount());
  }

  /** Samples the routers' current levels; the second's service is still unknown and added later. */
  private static SecondSample sample(VirtualTimeTestBed testBed, double load) {
    double levelSum = 0;
    int routersBelowFull = 0;
    for (VirtualTimeRouter router : testBed.routers()) {
      AdmissionController admission = router.gate().controller();
      if (admission != null) {
        admission.tick(router.now());
        levelSum += serviceReduction(admission);
        routersBelowFull += admission.level() == ServiceLevel.FULL ? 0 : 1;
      }
    }
    int routerCount = testBed.routers().size();
    return new SecondSample(
        load, 0, levelSum / routerCount, routersBelowFull / (double) routerCount);
  }

  /**
   * The reduction of a router's service, as in {@link SecondSample#meanLevel}; {@code SHARE} has no
   * place on the scale, because it applies only to single tenants.
   */
  private static double serviceReduction(AdmissionController admission) {
    int rank = admission.level().ordinal();
    return rank == 0 ? 0 : rank - 2 + admission.shedFraction();
  }

  private static void addService(List<SecondSample> samples, EmulatedClients clients) {
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
}
