package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;

/** When routers were dead or paused, as the fault script's log shows. Times in microseconds. */
final class RouterOutages {
  private static final long NEVER = Long.MAX_VALUE / 2; // durations are added to it

  private record Interval(long start, long end) {
    boolean overlaps(long otherStart, long otherEnd, long slack) {
      return start - slack <= otherEnd && end + slack >= otherStart;
    }
  }

  private final long slack;
  private final List<List<Interval>> dead = new ArrayList<>();
  private final List<List<Interval>> paused = new ArrayList<>();

  /**
   * Reads the outages.
   *
   * @param routers number of routers
   * @param slack by which outages count as longer, at both ends
   * @param script lines of the fault script's log
   */
  RouterOutages(int routers, long slack, List<LogLine> script) {
    this.slack = slack;
    for (int i = 0; i < routers; i++) {
      dead.add(new ArrayList<>());
      paused.add(new ArrayList<>());
    }
    for (LogLine line : script) {
      int router = line.router();
      switch (line.event()) {
        case ROUTER_KILLED -> dead.get(router).add(new Interval(line.at(), NEVER));
        case ROUTER_STARTED -> close(dead.get(router), line.at());
        case ROUTER_PAUSED -> paused.get(router).add(new Interval(line.at(), NEVER));
        case ROUTER_RESUMED -> close(paused.get(router), line.at());
        default -> { // other faults stop no router
        }
      }
    }
  }

  private static void close(List<Interval> intervals, long end) {
    int last = intervals.size() - 1;
    intervals.set(last, new Interval(intervals.get(last).start(), end));
  }

  /** Whether a router was dead at any time of an interval. */
  boolean wasDead(int router, long start, long end) {
    return dead.get(router).stream().anyMatch(outage -> outage.overlaps(start, end, slack));
  }

  /** Whether a router was paused at a time. */
  boolean wasPaused(int router, long time) {
    return paused.get(router).stream().anyMatch(outage -> outage.overlaps(time, time, slack));
  }
}
