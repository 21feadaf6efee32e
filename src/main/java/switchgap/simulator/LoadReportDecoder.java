package switchgap.simulator;

import java.nio.ByteBuffer;
import switchgap.config.PropertyRouterSettings;
import switchgap.policy.api.LoadReport;

/** Decodes what a worker reported of its load: a count of fields, then so many floats. */
final class LoadReportDecoder {
  private static final int FIRST_FIELD_OFFSET = 1;
  private static final int UNKNOWN_CONCURRENCY = -1;

  /** Whether the ends of attempts report the observed concurrency. */
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
  LoadReport ofProbe(ByteBuffer buffer, int offset) {
    return report(buffer, offset, UNKNOWN_CONCURRENCY);
  }

  /**
   * The report that came with an attempt's end; only a worker that answered says its concurrency.
   */
  LoadReport ofAttempt(ByteBuffer buffer, int offset, int concurrency, boolean isAnswered) {
    return report(
        buffer, offset, reportsConcurrency && isAnswered ? concurrency : UNKNOWN_CONCURRENCY);
  }

  private LoadReport report(ByteBuffer buffer, int offset, int concurrency) {
    return new LoadReport(
        field(buffer, offset, cpuUtilizationIndex),
        field(buffer, offset, inFlightIndex),
        field(buffer, offset, queueLengthIndex),
        concurrency);
  }

  private static double field(ByteBuffer buffer, int offset, int index) {
    if (index < 0 || index >= WireValues.unsignedByte(buffer, offset)) {
      return Double.NaN;
    }
    return buffer.getFloat(offset + FIRST_FIELD_OFFSET + Float.BYTES * index);
  }
}
