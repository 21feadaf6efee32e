package switchgap.testbed.soak;

/**
 * Times at which a worker started and at which the endpoint list first reported it as draining.
 * Thread-safe. Times are values of {@link System#nanoTime}.
 */
final class WorkerTimeline {
  private static final long STARTED_BEFORE_RUN = 0;
  private static final long NOT_DRAINING = 0;

  private final String name;
  private final long startedNanos;
  private volatile long drainingNanos = NOT_DRAINING;

  private WorkerTimeline(String name, long startedNanos) {
    this.name = name;
    this.startedNanos = startedNanos;
  }

  /** Creates the timeline of a worker that was started before the run and is warm. */
  static WorkerTimeline warm(String name) {
    return new WorkerTimeline(name, STARTED_BEFORE_RUN);
  }

  /** Creates the timeline of a worker that starts during the run and warms up. */
  static WorkerTimeline startedAt(String name, long startedNanos) {
    return new WorkerTimeline(name, startedNanos);
  }

  /** Records that the endpoint list reports the worker as draining. */
  void markDraining(long nowNanos) {
    drainingNanos = nowNanos;
  }

  String name() {
    return name;
  }

  boolean startedDuringRun() {
    return startedNanos != STARTED_BEFORE_RUN;
  }

  /** Start time; 0 if the worker was started before the run. */
  long startedNanos() {
    return startedNanos;
  }

  boolean isDraining() {
    return drainingNanos != NOT_DRAINING;
  }

  /** Time at which the drain was reported; 0 if the worker is not draining. */
  long drainingNanos() {
    return drainingNanos;
  }
}
