package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayDeque;

/** The times at which something happened, as far back as the caller asks. */
public final class SlidingWindow {
  private final ArrayDeque<Duration> times = new ArrayDeque<>();

  /** Notes that it happened. */
  public void add(Duration now) {
    times.add(now);
  }

  /** How often it happened in the span up to now; what is older is dropped for good. */
  public int countWithin(Duration now, Duration span) {
    while (!times.isEmpty() && span.compareTo(now.minus(times.peekFirst())) < 0) {
      times.pollFirst();
    }
    return times.size();
  }
}
