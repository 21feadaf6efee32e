package switchgap.net;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * The most recent stalls of the process, as found by a {@link StallDetector}, so that timers can
 * exclude them from elapsed time. Not thread-safe.
 */
public final class StallHistory {
  /**
   * The oldest stall is dropped beyond this number, which bounds the memory. Since each lasted for
   * at least {@link StallDetector#THRESHOLD}, the history covers many seconds of stalls.
   */
  private static final int MAX_STALLS = 64;

  private record Stall(Duration end, Duration length) {}

  private final ArrayDeque<Stall> stalls = new ArrayDeque<>();

  /**
   * Adds a stall; one of length zero is ignored, so that every result of {@link
   * StallDetector#recordCheck} can be passed on.
   *
   * @param end monotonic time at which the stall was over
   * @param length how long it lasted
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

  /** Returns the time from {@code start} to {@code now}, without the stalls in between. */
  public Duration elapsedExcludingStalls(Duration start, Duration now) {
    Duration elapsed = now.minus(start);
    for (Stall stall : stalls) {
      Duration startToEnd = stall.end.minus(start);
      if (!startToEnd.isNegative()) {
        boolean startedDuringStall = startToEnd.compareTo(stall.length) < 0;
        elapsed = elapsed.minus(startedDuringStall ? startToEnd : stall.length);
      }
    }
    return elapsed;
  }
}
