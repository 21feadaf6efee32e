package switchgap.server.gateway;

import org.HdrHistogram.Histogram;

/** Records how late the ticks of the event loop were, in microseconds. Safe from any thread. */
final class LatenessRecorder {
  private static final long MAX_TRACKED_MICROS = 60_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  private final Histogram histogram = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);

  synchronized void record(long micros) {
    histogram.recordValue(Math.min(micros, histogram.getHighestTrackableValue()));
  }

  /** Returns a copy, which later ticks do not change. */
  synchronized Histogram snapshot() {
    return histogram.copy();
  }
}
