package switchgap.testbed.scenario;

/** A request that a worker received, from the workers' log. Times are in microseconds. */
final class ObservedExecution {
  private static final long NOT_ENDED = Long.MAX_VALUE;

  private final String worker;
  private final long receivedAt;
  private final int lineNumber;
  private long endedAt = NOT_ENDED;
  private boolean started;

  /** Creates an execution from the line of the workers' log that records its receipt. */
  ObservedExecution(LogLine logLine) {
    worker = logLine.worker();
    receivedAt = logLine.time();
    lineNumber = logLine.lineNumber();
  }

  /** Records that the worker started to execute the request. */
  void markStarted() {
    started = true;
  }

  /**
   * Records a time from which the router could know that the execution had ended. The earliest of
   * several times is kept.
   */
  void markEndedBy(long knownEndTime) {
    endedAt = Math.min(endedAt, knownEndTime);
  }

  String worker() {
    return worker;
  }

  long receivedAt() {
    return receivedAt;
  }

  /** Line number of its receipt in the workers' log. */
  int lineNumber() {
    return lineNumber;
  }

  /** Whether the router could not yet know at a time that the execution had ended. */
  boolean isInFlightAt(long time) {
    return endedAt > time;
  }

  boolean isStarted() {
    return started;
  }
}
