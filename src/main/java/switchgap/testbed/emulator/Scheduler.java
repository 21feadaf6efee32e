package switchgap.testbed.emulator;

/** The clock and the single thread of the emulator. */
public interface Scheduler {
  /** The current time in microseconds; in real time, since the Unix epoch. */
  long now();

  /** Runs a task after a delay in microseconds; a negative delay is treated as 0. */
  void after(long delayMicros, Runnable task);

  /** Runs a task as soon as the thread is free. Thread-safe. */
  void post(Runnable task);
}
