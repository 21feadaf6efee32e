package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.Scheduler;
import switchgap.testbed.scenario.Scenario;

/**
 * A load over time: straight lines between points, with waves on top, and periods in which clients
 * send more or retry without backoff. Load is a share of the fleet's capacity. Immutable.
 *
 * @param name name in tables and reports
 * @param points two at least, in the order of time
 * @param wave what is added to the lines
 * @param periods what clients do beside it
 */
record LoadCurve(String name, List<Point> points, Wave wave, List<TrafficPeriod> periods) {
  private static final double MICROS_PER_SECOND = 1e6;

  /** Load at a time in microseconds. */
  record Point(double timeMicros, double load) {}

  /** A sine wave; amplitude 0 for none. */
  record Wave(double periodMicros, double amplitude) {
    static final Wave NONE = new Wave(1, 0);

    double at(long timeMicros) {
      return amplitude == 0 ? 0 : amplitude * Math.sin(2 * Math.PI * timeMicros / periodMicros);
    }
  }

  /**
   * For a time, a rate times a factor, with so many retries without backoff.
   *
   * @param startMicros start
   * @param durationMicros duration
   * @param tenant whose rate and retries, null for the rate of all
   * @param rateFactor factor on the rate
   * @param stormRetries retries without backoff, 0 for none
   */
  record TrafficPeriod(
      long startMicros, long durationMicros, String tenant, double rateFactor, int stormRetries) {
    TrafficPeriod within(double share) {
      return new TrafficPeriod(
          (long) (startMicros * share),
          (long) (durationMicros * share),
          tenant,
          rateFactor,
          stormRetries);
    }

    private void schedule(Scheduler scheduler, EmulatedClients clients) {
      scheduler.after(startMicros, () -> apply(clients, rateFactor, stormRetries));
      scheduler.after(startMicros + durationMicros, () -> apply(clients, 1, 0));
    }

    private void apply(EmulatedClients clients, double factor, int retries) {
      if (tenant == null) {
        clients.setRateFactor(factor);
      } else {
        clients.setRateFactor(tenant, factor);
        clients.setRetryStorm(tenant, retries);
      }
    }
  }

  /** A load that stays the same. */
  static LoadCurve flat(double load, long seconds) {
    List<Point> ends = List.of(new Point(0, load), new Point(seconds * MICROS_PER_SECOND, load));
    return new LoadCurve("flat " + load, ends, Wave.NONE, List.of());
  }

  /** The same curve over a share of the time; waves keep their period. */
  LoadCurve within(double share) {
    List<Point> scaled = new ArrayList<>();
    points.forEach(point -> scaled.add(new Point(point.timeMicros * share, point.load)));
    return new LoadCurve(
        name, scaled, wave, periods.stream().map(period -> period.within(share)).toList());
  }

  long seconds() {
    return (long) (points.get(points.size() - 1).timeMicros / MICROS_PER_SECOND);
  }

  /** The load at a time in microseconds, without what traffic periods add. */
  double loadAt(long timeMicros) {
    return Math.max(0, interpolate(timeMicros) + wave.at(timeMicros));
  }

  /** The factor on a scenario's request rate, by microseconds since the start. */
  LongToDoubleFunction rateFactor(Scenario scenario) {
    double fullLoadFactor = scenario.fleetCapacity() / scenario.meanWork() / scenario.requestRate();
    return timeMicros -> loadAt(timeMicros) * fullLoadFactor;
  }

  private double interpolate(long timeMicros) {
    int index = firstPointNotBefore(timeMicros);
    if (index == points.size()) {
      return points.get(index - 1).load;
    }
    Point next = points.get(index);
    Point previous = points.get(Math.max(0, index - 1));
    double distance = next.timeMicros - previous.timeMicros;
    return distance <= 0
        ? next.load
        : previous.load
            + (next.load - previous.load) * (timeMicros - previous.timeMicros) / distance;
  }

  /** A binary search: every request's arrival asks, and there may be many points. */
  private int firstPointNotBefore(long timeMicros) {
    int low = 0;
    int high = points.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (points.get(middle).timeMicros >= timeMicros) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }

  /** Schedules the traffic periods at the clients. */
  void schedule(Scheduler scheduler, EmulatedClients clients) {
    periods.forEach(period -> period.schedule(scheduler, clients));
  }
}
