package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayDeque;

/** Counts events in a time window that ends at the current time. */
public final class SlidingWindow {
  private final ArrayDeque<Duration> times = new ArrayDeque<>();

  /** Adds an event at the current time. */
  public void add(Duration now) {
    times.add(now);
  }

  /**
   * Returns the number of events within {@code span} before {@code now}. Drops older events, so the
   * span must not grow from one call to the next.
   */
  public int countWithin(Duration now, Duration span) {
    while (!times.isEmpty() && span.compareTo(now.minus(times.peekFirst())) < 0) {
      times.pollFirst();
    }
    return times.size();
  }
}
