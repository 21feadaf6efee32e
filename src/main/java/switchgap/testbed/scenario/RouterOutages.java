package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;

/** When routers were dead or paused, as the fault script's log shows. Times in microseconds. */
final class RouterOutages {
  private static final long OPEN_END = Long.MAX_VALUE / 2; // durations are added to it

  private record Interval(long start, long end) {
    boolean overlaps(long otherStart, long otherEnd, long slack) {
      return start - slack <= otherEnd && end + slack >= otherStart;
    }
  }

  private final long slack;
  private final List<List<Interval>> downIntervals = new ArrayList<>();
  private final List<List<Interval>> pausedIntervals = new ArrayList<>();

  /**
   * Reads the outages.
   *
   * @param routers number of routers
   * @param slack by which outages count as longer, at both ends
   * @param scriptLines lines of the fault script's log
   */
  RouterOutages(int routers, long slack, List<LogLine> scriptLines) {
    this.slack = slack;
    for (int i = 0; i < routers; i++) {
      downIntervals.add(new ArrayList<>());
      pausedIntervals.add(new ArrayList<>());
    }
    for (LogLine line : scriptLines) {
      int router = line.router();
      switch (line.event()) {
        case ROUTER_KILLED -> downIntervals.get(router).add(new Interval(line.time(), OPEN_END));
        case ROUTER_STARTED -> endLastInterval(downIntervals.get(router), line.time());
        case ROUTER_PAUSED -> pausedIntervals.get(router).add(new Interval(line.time(), OPEN_END));
        case ROUTER_RESUMED -> endLastInterval(pausedIntervals.get(router), line.time());
        default -> { // other faults stop no router
        }
      }
    }
  }

  private static void endLastInterval(List<Interval> intervals, long end) {
    int last = intervals.size() - 1;
    intervals.set(last, new Interval(intervals.get(last).start(), end));
  }

  /** Whether a router was dead at any time of an interval. */
  boolean wasDown(int router, long start, long end) {
    return downIntervals.get(router).stream()
        .anyMatch(outage -> outage.overlaps(start, end, slack));
  }

  /** Whether a router was paused at a time. */
  boolean wasPaused(int router, long time) {
    return pausedIntervals.get(router).stream()
        .anyMatch(outage -> outage.overlaps(time, time, slack));
  }
}
