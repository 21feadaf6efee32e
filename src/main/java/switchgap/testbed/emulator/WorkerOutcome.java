package switchgap.testbed.emulator;

/** How an execution or a load command ended at an emulated worker. */
public enum WorkerOutcome {
  /** Done. */
  SUCCEEDED,
  /** The function is not loaded. */
  NOT_LOADED,
  /** No capacity left in the queue or in memory. */
  NO_CAPACITY,
  /** The load failed. */
  FAILED
}
