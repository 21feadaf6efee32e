package switchgap.testbed.scenario;

/** A request at a worker, as the workers' log shows it. Times are in microseconds. */
final class ObservedExecution {
  private static final long NOT_ENDED = Long.MAX_VALUE;

  private final String worker;
  private final long receivedAt;
  private final int lineNumber;
  private long endedAt = NOT_ENDED;
  private boolean started;

  /** The execution that a line of the workers' log begins. */
  ObservedExecution(LogLine logLine) {
    worker = logLine.worker();
    receivedAt = logLine.time();
    lineNumber = logLine.lineNumber();
  }

  /** The worker began to execute it. */
  void markStarted() {
    started = true;
  }

  /** Its router could know by then that it had ended; the earliest time counts. */
  void markEndedBy(long knownEndTime) {
    endedAt = Math.min(endedAt, knownEndTime);
  }

  String worker() {
    return worker;
  }

  long receivedAt() {
    return receivedAt;
  }

  /** Number of the line of the workers' log that begins it. */
  int lineNumber() {
    return lineNumber;
  }

  /** Whether it was still in flight at a time. */
  boolean isInFlightAt(long time) {
    return endedAt > time;
  }

  boolean isStarted() {
    return started;
  }
}
