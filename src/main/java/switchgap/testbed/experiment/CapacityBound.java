package switchgap.testbed.experiment;

import java.util.Comparator;
import java.util.List;
import switchgap.testbed.scenario.Scenario;

/**
 * What service capacity alone allows: each second's capacity goes to the requests that earn most
 * for their work.
 */
final class CapacityBound {
  private static final long MICROS_PER_SECOND = 1_000_000;

  private CapacityBound() {}

  /** Share of the requested weight that can be earned over a curve. */
  static double of(Scenario scenario, LoadCurve curve) {
    List<Scenario.TrafficShare> byEarnings = scenario.trafficShares();
    byEarnings.sort(Comparator.comparingDouble(CapacityBound::weightPerWork).reversed());
    double requested = 0;
    double earned = 0;
    for (long second = 0; second < curve.seconds(); second++) {
      double load = curve.loadAt(second * MICROS_PER_SECOND);
      double capacityLeft = 1;
      for (Scenario.TrafficShare traffic : byEarnings) {
        double work = load * traffic.share() * traffic.relativeWork();
        double done = Math.min(capacityLeft, work);
        capacityLeft -= done;
        double weight = load * traffic.share() * traffic.weight();
        requested += weight;
        earned += weight * (work == 0 ? 1 : done / work);
      }
    }
    return earned / requested;
  }

  private static double weightPerWork(Scenario.TrafficShare traffic) {
    return traffic.weight() / traffic.relativeWork();
  }
}
