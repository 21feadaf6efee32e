package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * Intervals in which routers were down or paused, from the log of the fault script. Times are in
 * microseconds.
 */
final class RouterOutages {
  /** End of an interval that has not ended; half the range, so that adding the slack is safe. */
  private static final long OPEN_END = Long.MAX_VALUE / 2;

  private record Interval(long start, long end) {
    boolean overlaps(long otherStart, long otherEnd, long slack) {
      return start - slack <= otherEnd && end + slack >= otherStart;
    }
  }

  private final long slack;
  private final List<List<Interval>> downIntervals = new ArrayList<>();
  private final List<List<Interval>> pausedIntervals = new ArrayList<>();

  /**
   * Collects the outages.
   *
   * @param routers number of routers
   * @param slack time by which each outage is extended at both ends
   * @param scriptLines lines of the log of the fault script
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
        default -> { // Other events do not change whether a router runs.
        }
      }
    }
  }

  private static void endLastInterval(List<Interval> intervals, long end) {
    int last = intervals.size() - 1;
    intervals.set(last, new Interval(intervals.get(last).start(), end));
  }

  /** Whether a router was down at any time in an interval. */
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
