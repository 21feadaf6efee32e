package switchgap.testbed.scenario;

/** A request at a worker, as the workers' log shows it. Times are in microseconds. */
final class ObservedExecution {
  private static final long IN_FLIGHT = Long.MAX_VALUE;

  private final String worker;
  private final long arrivedAt;
  private final int line;
  private long endedAt = IN_FLIGHT;
  private boolean started;

  /** The execution that a line of the workers' log begins. */
  ObservedExecution(LogLine logLine) {
    worker = logLine.worker();
    arrivedAt = logLine.at();
    line = logLine.number();
  }

  /** The worker began to execute it. */
  void started() {
    started = true;
  }

  /** Its router could know by then that it had ended; the earliest time counts. */
  void endedBy(long time) {
    endedAt = Math.min(endedAt, time);
  }

  String worker() {
    return worker;
  }

  long arrivedAt() {
    return arrivedAt;
  }

  /** Number of the line of the workers' log that begins it. */
  int line() {
    return line;
  }

  /** Whether it was still in flight at a time. */
  boolean isInFlightAt(long time) {
    return endedAt > time;
  }

  boolean isStarted() {
    return started;
  }
}
