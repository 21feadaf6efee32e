package switchgap.net;

import java.time.Duration;
import java.util.ArrayDeque;

/** The pauses of the process in the last while, to be taken out of spans. Not thread-safe. */
public final class PauseHistory {
  /**
   * Older ones are forgotten past so many: each lasted for {@link PauseDetector#THRESHOLD} at the
   * least.
   */
  private static final int MAX_PAUSES = 64;

  private record Pause(Duration end, Duration length) {}

  private final ArrayDeque<Pause> pauses = new ArrayDeque<>();

  /** A pause of this length has ended; one of zero is none. */
  public void add(Duration end, Duration length) {
    if (length.isZero()) {
      return;
    }
    pauses.addLast(new Pause(end, length));
    if (pauses.size() > MAX_PAUSES) {
      pauses.removeFirst();
    }
  }

  /** Time from {@code start} to {@code now} in which the process ran. */
  public Duration runningTime(Duration start, Duration now) {
    Duration running = now.minus(start);
    for (Pause pause : pauses) {
      Duration within = pause.end.minus(start);
      if (!within.isNegative()) {
        running = running.minus(within.compareTo(pause.length) < 0 ? within : pause.length);
      }
    }
    return running;
  }
}
