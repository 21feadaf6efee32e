package switchgap.testbed.emulator;

/** The emulator's clock and its single thread. */
public interface Scheduler {
  /** The time in microseconds of wall time. */
  long now();

  /** Runs a task after a delay in microseconds; a negative delay counts as none. */
  void after(long micros, Runnable task);

  /** Runs a task as soon as the thread is free. May be called from any thread. */
  void post(Runnable task);
}
