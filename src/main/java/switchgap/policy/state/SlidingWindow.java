package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayDeque;

/** Counts events in a window that ends now. */
public final class SlidingWindow {
  private final ArrayDeque<Duration> times = new ArrayDeque<>();

  /** Adds an event. */
  public void add(Duration now) {
    times.add(now);
  }

  /**
   * The number of events within a span before now; older events are dropped, so the span must not
   * grow.
   */
  public int countWithin(Duration now, Duration span) {
    while (!times.isEmpty() && span.compareTo(now.minus(times.peekFirst())) < 0) {
      times.pollFirst();
    }
    return times.size();
  }
}
