package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import switchgap.admission.AdmissionController;
import switchgap.admission.ServiceLevel;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.scenario.Scenario;

/**
 * The result of one variant over one curve with one seed.
 *
 * @param variant the variant that was played
 * @param seed seed of all random draws
 * @param service how clients were served
 * @param levels how the routers changed their service levels
 * @param samples one for each second
 * @param meanUtilization mean share of the fleet's cores at work
 * @param eventCount events of the virtual-time scheduler
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

  /** Plays a trial in virtual time. */
  static Trial play(Scenario scenario, long seed, Variant variant, LoadCurve curve) {
    VirtualTimeTestBed testBed =
        new VirtualTimeTestBed(scenario, seed, variant, curve.rateFactor(scenario));
    curve.schedule(testBed.scheduler(), testBed.clients());
    List<SecondSample> samples = new ArrayList<>();
    double[] utilizationSum = new double[1];
    testBed.play(
        curve.seconds(),
        second -> {
          utilizationSum[0] += testBed.meanUtilization();
          samples.add(sample(testBed, curve.loadAt(second * MICROS_PER_SECOND)));
        });
    addService(samples, testBed.clients());
    return new Trial(
        variant,
        seed,
        ServiceFigures.of(testBed.clients(), CapacityBound.of(scenario, curve)),
        LevelFigures.of(scenario, testBed, samples),
        samples,
        utilizationSum[0] / Math.max(1, curve.seconds()),
        testBed.scheduler().events());
  }

  /** The routers' levels now; the service of the second is known later. */
  private static SecondSample sample(VirtualTimeTestBed testBed, double load) {
    double levelSum = 0;
    int belowFull = 0;
    for (VirtualTimeRouter router : testBed.routers()) {
      AdmissionController admission = router.gate().controller();
      if (admission != null) {
        admission.tick(router.now());
        levelSum += reduction(admission);
        belowFull += admission.level() == ServiceLevel.FULL ? 0 : 1;
      }
    }
    int routers = testBed.routers().size();
    return new SecondSample(load, 0, levelSum / routers, belowFull / (double) routers);
  }

  /** How far a router's service is reduced: the tenants' own level does not count. */
  private static double reduction(AdmissionController admission) {
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
