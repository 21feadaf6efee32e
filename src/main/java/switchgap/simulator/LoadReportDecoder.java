package switchgap.simulator;

import java.nio.ByteBuffer;
import switchgap.config.PropertyRouterSettings;
import switchgap.policy.api.LoadReport;

/** Decodes load reports of workers. On the wire, a count of fields precedes one float per field. */
final class LoadReportDecoder {
  private static final int FIRST_FIELD_OFFSET = 1;
  private static final int UNKNOWN_CONCURRENCY = -1;

  /** Whether events of ended attempts contain the concurrency at the worker. */
  private final boolean reportsConcurrency;

  // Positions of the fields in a report; negative if workers do not report the field.
  private final int cpuUtilizationIndex;
  private final int inFlightIndex;
  private final int queueLengthIndex;

  LoadReportDecoder(PropertyRouterSettings settings) {
    reportsConcurrency = settings.reportsConcurrency();
    cpuUtilizationIndex = settings.reportFieldIndex("load_share");
    inFlightIndex = settings.reportFieldIndex("concurrent");
    queueLengthIndex = settings.reportFieldIndex("depth");
  }

  /** Decodes the load report in the event of an ended load probe. */
  LoadReport ofProbe(ByteBuffer buffer, int offset) {
    return report(buffer, offset, UNKNOWN_CONCURRENCY);
  }

  /**
   * Decodes the load report in the event of an ended attempt.
   *
   * @param concurrency concurrency at the worker; used only if a response arrived
   * @param isAnswered whether the worker responded
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
