package switchgap.simulator;

import java.nio.ByteBuffer;
import switchgap.config.PropertyRouterSettings;
import switchgap.policy.api.LoadReport;

/** Decodes what a worker reported of its load: a count of fields, then so many floats. */
final class LoadReportDecoder {
  private static final int FIRST_FIELD = 1;
  private static final int UNKNOWN_CONCURRENCY = -1;

  /** Whether the ends of attempts report the concurrency that they met. */
  private final boolean reportsConcurrency;

  /** Positions of the fields, below 0 where they are not reported. */
  private final int cpuUtilizationIndex;

  private final int inFlightIndex;
  private final int queueLengthIndex;

  LoadReportDecoder(PropertyRouterSettings settings) {
    reportsConcurrency = settings.reportsConcurrency();
    cpuUtilizationIndex = settings.reportFieldIndex("load_share");
    inFlightIndex = settings.reportFieldIndex("concurrent");
    queueLengthIndex = settings.reportFieldIndex("depth");
  }

  /** The report of a probe. */
  LoadReport ofProbe(ByteBuffer buffer, int at) {
    return report(buffer, at, UNKNOWN_CONCURRENCY);
  }

  /**
   * The report that came with an attempt's end; only a worker that answered says its concurrency.
   */
  LoadReport ofAttempt(ByteBuffer buffer, int at, int concurrency, boolean isAnswered) {
    return report(buffer, at, reportsConcurrency && isAnswered ? concurrency : UNKNOWN_CONCURRENCY);
  }

  private LoadReport report(ByteBuffer buffer, int at, int concurrency) {
    return new LoadReport(
        field(buffer, at, cpuUtilizationIndex),
        field(buffer, at, inFlightIndex),
        field(buffer, at, queueLengthIndex),
        concurrency);
  }

  private static double field(ByteBuffer buffer, int at, int index) {
    if (index < 0 || index >= WireValues.unsignedByte(buffer, at)) {
      return Double.NaN;
    }
    return buffer.getFloat(at + FIRST_FIELD + Float.BYTES * index);
  }
}
