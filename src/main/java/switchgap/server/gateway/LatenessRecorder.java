package switchgap.server.gateway;

import org.HdrHistogram.Histogram;

/** Records by how much the event loop's ticks were late, in microseconds. Safe from any thread. */
final class LatenessRecorder {
  private static final long MAX_TRACKED_MICROS = 60_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  private final Histogram histogram = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);

  synchronized void record(long micros) {
    histogram.recordValue(Math.min(micros, histogram.getHighestTrackableValue()));
  }

  /** A copy that no longer changes. */
  synchronized Histogram snapshot() {
    return histogram.copy();
  }
}
