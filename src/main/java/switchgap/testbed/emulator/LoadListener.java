package switchgap.testbed.emulator;

/** Notified of the end of a load command at an emulated worker. On the scheduler's thread. */
@FunctionalInterface
public interface LoadListener {
  /**
   * The command ended. Called once, unless the worker's process ends first.
   *
   * @param outcome how it ended
   * @param loadedReplicas number of replicas that are loaded
   */
  void loadEnded(WorkerOutcome outcome, int loadedReplicas);
}
