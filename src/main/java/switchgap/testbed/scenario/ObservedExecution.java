package switchgap.testbed.scenario;

/** A request at a worker, as the workers' log shows it. Times in microseconds. */
final class ObservedExecution {
  final String worker;
  final long arrivedAt;
  final int line;

  /** When its router could know that it had ended. */
  long endedAt = Long.MAX_VALUE;

  /** Whether it began to run. */
  boolean started;

  ObservedExecution(LogLine logLine) {
    worker = logLine.text("worker");
    arrivedAt = logLine.at();
    line = logLine.number();
  }

  void endedBy(long at) {
    endedAt = Math.min(endedAt, at);
  }
}
