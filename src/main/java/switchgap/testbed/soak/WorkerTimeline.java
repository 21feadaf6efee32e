package switchgap.testbed.soak;

/**
 * When a worker started and when the endpoint list began to call it draining. Thread-safe. Times
 * are of {@link System#nanoTime}.
 */
final class WorkerTimeline {
  private static final long BEFORE_RUN = 0;
  private static final long NOT_DRAINING = 0;

  private final String name;
  private final long startedNanos;
  private volatile long drainingNanos = NOT_DRAINING;

  private WorkerTimeline(String name, long startedNanos) {
    this.name = name;
    this.startedNanos = startedNanos;
  }

  /** A worker that was there, warm, before the run. */
  static WorkerTimeline warm(String name) {
    return new WorkerTimeline(name, BEFORE_RUN);
  }

  /** A worker that starts during the run and warms up. */
  static WorkerTimeline startedAt(String name, long startedNanos) {
    return new WorkerTimeline(name, startedNanos);
  }

  /** The endpoint list now calls it draining. */
  void drainingAt(long nowNanos) {
    drainingNanos = nowNanos;
  }

  String name() {
    return name;
  }

  /** Whether it started during the run. */
  boolean startedDuringRun() {
    return startedNanos != BEFORE_RUN;
  }

  /** Start of its process; meaningless where it was there before the run. */
  long startedNanos() {
    return startedNanos;
  }

  boolean isDraining() {
    return drainingNanos != NOT_DRAINING;
  }

  long drainingNanos() {
    return drainingNanos;
  }
}
