package switchgap.net;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * The most recent stalls of the process, as reported by a {@link StallDetector}. Timers use it to
 * exclude stalls from elapsed time. Not thread-safe.
 */
public final class StallHistory {
  /**
   * Bounds the memory: the oldest stall is removed when there are more. Since each stall lasted at
   * least {@link StallDetector#THRESHOLD}, the history covers several seconds of stalls.
   */
  private static final int MAX_STALLS = 64;

  private record Stall(Duration end, Duration length) {}

  private final ArrayDeque<Stall> stalls = new ArrayDeque<>();

  /**
   * Adds a stall. A stall of length zero is ignored, so that every result of {@link
   * StallDetector#recordCheck} can be passed to this method.
   *
   * @param end monotonic time at which the stall ended
   * @param length duration of the stall
   */
  public void add(Duration end, Duration length) {
    if (length.isZero()) {
      return;
    }
    stalls.addLast(new Stall(end, length));
    if (stalls.size() > MAX_STALLS) {
      stalls.removeFirst();
    }
  }

  /** Returns the time from {@code start} to {@code now}, excluding stalls. */
  public Duration elapsedExcludingStalls(Duration start, Duration now) {
    Duration elapsed = now.minus(start);
    for (Stall stall : stalls) {
      Duration startToStallEnd = stall.end.minus(start);
      if (!startToStallEnd.isNegative()) {
        boolean startedDuringStall = startToStallEnd.compareTo(stall.length) < 0;
        elapsed = elapsed.minus(startedDuringStall ? startToStallEnd : stall.length);
      }
    }
    return elapsed;
  }
}
