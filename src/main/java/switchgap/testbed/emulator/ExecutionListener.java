package switchgap.testbed.emulator;

/** Receives the events of one execution on an emulated worker, on the scheduler's thread. */
@FunctionalInterface
public interface ExecutionListener {
  /** The execution was assigned a slot and started to run. */
  default void started() {}

  /**
   * The execution ended. Called once, unless the worker's process ends first.
   *
   * @param outcome outcome of the execution
   * @param concurrency number of the function's executions in flight when the request arrived
   */
  void ended(WorkerOutcome outcome, int concurrency);
}
