package switchgap.testbed.emulator;

/** Receives the end of a load command at an emulated worker, on the scheduler's thread. */
@FunctionalInterface
public interface LoadListener {
  /**
   * The load command ended. Called once, unless the worker's process ends first.
   *
   * @param outcome outcome of the command
   * @param loadedReplicas number of replicas that are loaded at its end
   */
  void loadEnded(WorkerOutcome outcome, int loadedReplicas);
}
