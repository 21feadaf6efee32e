package switchgap.testbed.emulator;

/** Notified of one execution on an emulated worker. On the scheduler's thread. */
@FunctionalInterface
public interface ExecutionListener {
  /** The execution got a slot and began to run. */
  default void started() {}

  /**
   * The execution ended. Called once, unless the worker's process ends first.
   *
   * @param outcome how it ended
   * @param concurrency executions of the function in flight when the request arrived
   */
  void ended(WorkerOutcome outcome, int concurrency);
}
