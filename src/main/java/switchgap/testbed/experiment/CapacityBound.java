package switchgap.testbed.experiment;

import java.util.Comparator;
import java.util.List;
import switchgap.testbed.scenario.Scenario;

/**
 * Upper bound of the service that the fleet's capacity allows, computed by giving each second's
 * capacity first to the requests with the highest weight per unit of work.
 */
final class CapacityBound {
  private static final long MICROS_PER_SECOND = 1_000_000;

  private CapacityBound() {}

  /** Returns the largest share of the requested weight that can be earned over the curve. */
  static double maxService(Scenario scenario, LoadCurve curve) {
    List<Scenario.TrafficShare> byWeightPerWork = scenario.trafficShares();
    byWeightPerWork.sort(Comparator.comparingDouble(CapacityBound::weightPerWork).reversed());
    double requestedWeight = 0;
    double earnedWeight = 0;
    for (long second = 0; second < curve.seconds(); second++) {
      double load = curve.loadAt(second * MICROS_PER_SECOND);
      double capacityLeft = 1;
      for (Scenario.TrafficShare traffic : byWeightPerWork) {
        double work = load * traffic.share() * traffic.relativeWork();
        double completedWork = Math.min(capacityLeft, work);
        capacityLeft -= completedWork;
        double weight = load * traffic.share() * traffic.weight();
        requestedWeight += weight;
        earnedWeight += weight * (work == 0 ? 1 : completedWork / work);
      }
    }
    return earnedWeight / requestedWeight;
  }

  private static double weightPerWork(Scenario.TrafficShare traffic) {
    return traffic.weight() / traffic.relativeWork();
  }
}
