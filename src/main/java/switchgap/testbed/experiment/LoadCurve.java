package switchgap.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.Scheduler;
import switchgap.testbed.scenario.Scenario;

/**
 * Load over time, as a share of the fleet's capacity: linear interpolation between points plus a
 * sine wave, and periods in which clients send more requests or retry without backoff. Immutable.
 *
 * @param name name of the curve in tables and reports
 * @param points at least two points, in order of time
 * @param wave wave that is added to the interpolated load
 * @param periods deviations of clients from the curve
 */
record LoadCurve(String name, List<Point> points, Wave wave, List<TrafficPeriod> periods) {
  private static final double MICROS_PER_SECOND = 1e6;

  /** The load at a time, in microseconds since the start. */
  record Point(double timeMicros, double load) {}

  /** A sine wave; an amplitude of 0 means no wave. */
  record Wave(double periodMicros, double amplitude) {
    static final Wave NONE = new Wave(1, 0);

    double loadAt(long timeMicros) {
      return amplitude == 0 ? 0 : amplitude * Math.sin(2 * Math.PI * timeMicros / periodMicros);
    }
  }

  /**
   * A period in which clients multiply their request rate, and one tenant's clients may cause a
   * retry storm.
   *
   * @param startMicros start of the period, in microseconds since the start of the curve
   * @param durationMicros duration in microseconds
   * @param tenant tenant whose rate and retries change, null to change the rate of all tenants
   * @param rateFactor factor that the request rate is multiplied with
   * @param maxStormRetries maximum retries of a request in a retry storm of the tenant, see {@link
   *     EmulatedClients#setRetryStorm}; 0 for the usual retries; not used without a tenant
   */
  record TrafficPeriod(
      long startMicros,
      long durationMicros,
      String tenant,
      double rateFactor,
      int maxStormRetries) {
    TrafficPeriod scaleTime(double factor) {
      return new TrafficPeriod(
          (long) (startMicros * factor),
          (long) (durationMicros * factor),
          tenant,
          rateFactor,
          maxStormRetries);
    }

    private void schedule(Scheduler scheduler, EmulatedClients clients) {
      scheduler.after(startMicros, () -> apply(clients, rateFactor, maxStormRetries));
      scheduler.after(startMicros + durationMicros, () -> apply(clients, 1, 0));
    }

    private void apply(EmulatedClients clients, double newRateFactor, int newMaxStormRetries) {
      if (tenant == null) {
        clients.setRateFactor(newRateFactor);
      } else {
        clients.setRateFactor(tenant, newRateFactor);
        clients.setRetryStorm(tenant, newMaxStormRetries);
      }
    }
  }

  /** Returns a curve of constant load. */
  static LoadCurve flat(double load, long seconds) {
    List<Point> endPoints =
        List.of(new Point(0, load), new Point(seconds * MICROS_PER_SECOND, load));
    return new LoadCurve("flat " + load, endPoints, Wave.NONE, List.of());
  }

  /** Returns the curve with all times multiplied by a factor; the wave's period doesn't change. */
  LoadCurve scaleTime(double factor) {
    List<Point> scaledPoints = new ArrayList<>();
    points.forEach(point -> scaledPoints.add(new Point(point.timeMicros * factor, point.load)));
    return new LoadCurve(
        name,
        scaledPoints,
        wave,
        periods.stream().map(period -> period.scaleTime(factor)).toList());
  }

  long seconds() {
    return (long) (points.get(points.size() - 1).timeMicros / MICROS_PER_SECOND);
  }

  /**
   * Returns the load at a time in microseconds since the start, without the effect of traffic
   * periods.
   */
  double loadAt(long timeMicros) {
    return Math.max(0, interpolate(timeMicros) + wave.loadAt(timeMicros));
  }

  /**
   * Returns the function from microseconds since the start to the factor that the scenario's
   * request rate is multiplied with.
   */
  LongToDoubleFunction rateFactor(Scenario scenario) {
    double fullLoadFactor = scenario.fleetCapacity() / scenario.meanWork() / scenario.requestRate();
    return timeMicros -> loadAt(timeMicros) * fullLoadFactor;
  }

  private double interpolate(long timeMicros) {
    int index = indexOfFirstPointNotBefore(timeMicros);
    if (index == points.size()) {
      return points.get(index - 1).load;
    }
    Point next = points.get(index);
    Point previous = points.get(Math.max(0, index - 1));
    double interval = next.timeMicros - previous.timeMicros;
    return interval <= 0
        ? next.load
        : previous.load
            + (next.load - previous.load) * (timeMicros - previous.timeMicros) / interval;
  }

  /**
   * Uses a binary search, because it runs at each request arrival and a curve may have many points.
   */
  private int indexOfFirstPointNotBefore(long timeMicros) {
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

  /** Schedules the start and the end of each traffic period. */
  void schedulePeriods(Scheduler scheduler, EmulatedClients clients) {
    periods.forEach(period -> period.schedule(scheduler, clients));
  }
}
